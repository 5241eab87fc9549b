// Package basillog makes the logger of basilstage: JSON lines with stable field
// names, a level that changes at run time, and no secrets or payloads.
package basillog
