// Package basilquery answers operators' questions; it changes nothing.
package basilquery
