package basilapi

// OperatorRequest carries one query or command in the operators' language.
type OperatorRequest struct {
	ID     string `json:"id,omitempty"` // of a command; a repeat with it is not a second change
	Text   string `json:"text"`
	Reason string `json:"reason,omitempty"`
	Body   []byte `json:"body,omitempty"` // a document that the command takes, such as a configuration
	DryRun bool   `json:"dry_run,omitempty"`
}

// QueryAnswer is a table of text cells.
type QueryAnswer struct {
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
}

// CommandAnswer tells what a command did.
type CommandAnswer struct {
	ID       string `json:"id"`
	Sequence int64  `json:"sequence,omitempty"` // the change's place in the audit trail
	Summary  string `json:"summary"`
}
