package basilaudit

// Actor tells who asks for a change, under which command id, and why.
type Actor struct {
	Operator string
	Command  string // unique to the command; a repeat with it is not a second change
	Reason   string
}
