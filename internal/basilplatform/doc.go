// Package basilplatform holds the ports through which basilstage meets the
// platform: its table service, host list, host control and worker tasks.
package basilplatform
