package basilrouter

//go:generate go tool -modfile=../../tools/go.mod enumer -type=Ending -trimprefix=Ending -transform=kebab -text -output=ending_enumer.go

// Ending tells how one attempt on a backend server ended.
type Ending int

// The endings.
const (
	EndingAbandoned   Ending = iota // not sent, or given up by the caller; says nothing of the backend server
	EndingAnswered                  // a whole answer
	EndingRejected                  // a whole answer that blames the job
	EndingFailed                    // a whole answer that reports a failure
	EndingRefused                   // the typed refusal: not started
	EndingUnreachable               // no byte of the request was sent
	EndingBroken                    // the connection or the answer broke after a byte was sent
	EndingTimeout                   // no answer before the deadline
)
