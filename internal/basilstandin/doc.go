// Package basilstandin holds small fakes of the systems that basilstage meets:
// the platform, backend servers and workers, with switches for their faults.
package basilstandin
