package basilsettings

import "time"

// Values that stand for settings left out.
const (
	DefaultPlatformTimeout = 2 * time.Second
	DefaultStopGrace       = 20 * time.Second
	DefaultJobsInProgress  = 4096
	DefaultLogLevel        = "info"
)

// Settings is what one entry host is told at its start.
type Settings struct{ record Record }

// Record returns the written form.
func (s Settings) Record() Record { return s.record }

// Member returns the id of this entry host.
func (s Settings) Member() string { return s.record.Member }

// DataCentre returns the data centre that this entry host stands in.
func (s Settings) DataCentre() string { return s.record.DataCentre }

// HTTPAddress returns the IP:port for callers.
func (s Settings) HTTPAddress() string { return s.record.Listen.HTTP }

// OperatorAddress returns the IP:port for operators, which may be the one for callers.
func (s Settings) OperatorAddress() string {
	if s.record.Listen.Operator == "" {
		return s.record.Listen.HTTP
	}
	return s.record.Listen.Operator
}

// MetricsAddress returns the IP:port for metrics, or "" for none.
func (s Settings) MetricsAddress() string { return s.record.Listen.Metrics }

// PeerAddress returns the IP:port (UDP) for other entry hosts.
func (s Settings) PeerAddress() string { return s.record.Listen.Peer }

// Peers returns the other entry hosts that are known at the start.
func (s Settings) Peers() []PeerRecord {
	var others []PeerRecord
	for _, p := range s.record.Peers {
		if p.ID != s.record.Member {
			others = append(others, p)
		}
	}
	return others
}

// Table returns how to reach the platform's table service.
func (s Settings) Table() TableRecord { return s.record.Platform.Table }

// TableTimeout returns the limit of one call to the table service.
func (s Settings) TableTimeout() time.Duration {
	return durationOr(s.record.Platform.Table.Timeout, DefaultPlatformTimeout)
}

// HostsEndpoint returns the URL of the platform's host list and host control.
func (s Settings) HostsEndpoint() string { return s.record.Platform.Hosts.Endpoint }

// HostsTimeout returns the limit of one call to the host list or host control.
func (s Settings) HostsTimeout() time.Duration {
	return durationOr(s.record.Platform.Hosts.Timeout, DefaultPlatformTimeout)
}

// PlainText tells whether callers and operators are served without TLS.
func (s Settings) PlainText() bool { return s.record.TLS.PlainText }

// PeerTLS returns the files for the links between entry hosts.
func (s Settings) PeerTLS() PeerTLSRecord { return s.record.TLS.Peer }

// HTTPTLS returns the files for callers and operators; they are empty when PlainText.
func (s Settings) HTTPTLS() HTTPTLSRecord {
	if s.record.TLS.HTTP == nil {
		return HTTPTLSRecord{}
	}
	return *s.record.TLS.HTTP
}

// LogLevel returns the level to log at.
func (s Settings) LogLevel() string {
	if s.record.Log.Level == "" {
		return DefaultLogLevel
	}
	return s.record.Log.Level
}

// JobsInProgress returns the most jobs that this entry host holds at once.
func (s Settings) JobsInProgress() int {
	if s.record.Limits.JobsInProgress == 0 {
		return DefaultJobsInProgress
	}
	return s.record.Limits.JobsInProgress
}

// StopGrace returns how long a planned stop waits for jobs in progress.
func (s Settings) StopGrace() time.Duration {
	return durationOr(s.record.Limits.StopGrace, DefaultStopGrace)
}

// durationOr reads a duration that Parse has checked.
func durationOr(written string, otherwise time.Duration) time.Duration {
	d, err := time.ParseDuration(written)
	if err != nil {
		return otherwise
	}
	return d
}
