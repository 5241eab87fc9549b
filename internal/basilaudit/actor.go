package basilaudit

// Actor identifies the operator and the command behind a change, and the reason for it.
type Actor struct {
	Operator string
	Command  string // idempotency key; repeating it makes no second change
	Reason   string
}
