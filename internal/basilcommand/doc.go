// Package basilcommand carries out operators' commands; each is one change with an id.
package basilcommand
