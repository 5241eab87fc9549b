package basilsettings

// Record is the written form of Settings.
type Record struct {
	Member     string         `yaml:"member" validate:"required,identifier"`
	DataCentre string         `yaml:"data_centre" validate:"required,identifier"`
	Listen     ListenRecord   `yaml:"listen"`
	Peers      []PeerRecord   `yaml:"peers" validate:"dive"`
	Platform   PlatformRecord `yaml:"platform"`
	TLS        TLSRecord      `yaml:"tls"`
	Log        LogRecord      `yaml:"log"`
	Limits     LimitsRecord   `yaml:"limits"`

	BootstrapTokenHash string `yaml:"bootstrap_token_hash" validate:"omitempty,len=64,hexadecimal"`
}

// ListenRecord holds the addresses that the entry host listens on.
type ListenRecord struct {
	HTTP     string `yaml:"http" validate:"required,ipport"`
	Operator string `yaml:"operator" validate:"omitempty,ipport"`
	Metrics  string `yaml:"metrics" validate:"omitempty,ipport"`
	Peer     string `yaml:"peer" validate:"required,ipport"`
}

// PeerRecord is one entry host that is known at the start.
type PeerRecord struct {
	ID         string `yaml:"id" validate:"required,identifier"`
	DataCentre string `yaml:"data_centre" validate:"required,identifier"`
	Address    string `yaml:"address" validate:"required,ipport"`
}

// PlatformRecord tells how to reach the platform.
type PlatformRecord struct {
	Table TableRecord `yaml:"table"`
	Hosts HostsRecord `yaml:"hosts"`
}

// TableRecord tells how to reach the platform's table service.
type TableRecord struct {
	Endpoint      string `yaml:"endpoint" validate:"required,endpoint"`
	Region        string `yaml:"region" validate:"required"`
	Name          string `yaml:"table_name" validate:"required"`
	AccessKeyFile string `yaml:"access_key_file" validate:"required_without=AccessKey,excluded_with=AccessKey"`
	SecretKeyFile string `yaml:"secret_key_file" validate:"required_without=SecretKey,excluded_with=SecretKey"`
	AccessKey     string `yaml:"access_key"`
	SecretKey     string `yaml:"secret_key"`
	Timeout       string `yaml:"timeout" validate:"omitempty,duration"`
}

// HostsRecord tells how to reach the platform's host list and host control.
type HostsRecord struct {
	Endpoint string `yaml:"endpoint" validate:"required,endpoint"`
	Timeout  string `yaml:"timeout" validate:"omitempty,duration"`
}

// TLSRecord names the files that the entry host proves itself with.
type TLSRecord struct {
	PlainText bool           `yaml:"plain_text"`
	Peer      PeerTLSRecord  `yaml:"peer"`
	HTTP      *HTTPTLSRecord `yaml:"http"`
}

// PeerTLSRecord names the files for the links between entry hosts.
type PeerTLSRecord struct {
	CA          string `yaml:"ca" validate:"required"`
	Certificate string `yaml:"certificate" validate:"required"`
	Key         string `yaml:"key" validate:"required"`
}

// HTTPTLSRecord names the files for callers and operators.
type HTTPTLSRecord struct {
	Certificate string `yaml:"certificate" validate:"required"`
	Key         string `yaml:"key" validate:"required"`
}

// LogRecord tells what is logged.
type LogRecord struct {
	Level string `yaml:"level" validate:"omitempty,oneof=debug info warn error"`
}

// LimitsRecord bounds what the entry host takes on.
type LimitsRecord struct {
	JobsInProgress int    `yaml:"jobs_in_progress" validate:"gte=0"`
	StopGrace      string `yaml:"stop_grace" validate:"omitempty,duration"`
}
