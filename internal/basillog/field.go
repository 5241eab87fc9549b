package basillog

// Names of fields, the same in every line that carries them.
const (
	FieldTime        = "time"
	FieldLevel       = "level"
	FieldMessage     = "message"
	FieldError       = "error"
	FieldMember      = "member"
	FieldIncarnation = "incarnation"
	FieldDataCentre  = "data_centre"
	FieldPeer        = "peer"
	FieldAddress     = "address"
	FieldHost        = "host"
	FieldPool        = "pool"
	FieldService     = "service"
	FieldTeam        = "team"
	FieldJob         = "job"
	FieldAttempt     = "attempt"
	FieldWave        = "wave"
	FieldRevision    = "revision"
	FieldSequence    = "sequence"
	FieldEpoch       = "epoch"
	FieldOperator    = "operator"
	FieldAction      = "action"
	FieldOutcome     = "outcome"
	FieldCode        = "code"
	FieldReason      = "reason"
	FieldDuration    = "duration_ms"
	FieldBytes       = "bytes"
)

// redacted stands in place of a value that must not be logged.
const redacted = "redacted"

// secretWords mark the fields whose values never reach a log line.
var secretWords = []string{"token", "secret", "password", "authorization", "access_key", "body", "payload", "result", "checkpoint"}
