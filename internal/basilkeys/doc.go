// Package basilkeys makes trial certificates and loads the ones that members
// prove themselves with; changed files are taken up without a restart.
package basilkeys
