// Package basilrunner keeps the lease of one backend server: what it was told,
// what its clock says, and until when its runs may last unseen.
package basilrunner
