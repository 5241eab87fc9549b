// Package basilmodel holds the domain types that the control plane stores and
// that the traffic path reads: hosts, pools, services, teams and configuration.
package basilmodel
