package basilrouter

//go:generate go tool -modfile=../../tools/go.mod enumer -type=Ending -trimprefix=Ending -transform=kebab -text -output=ending_enumer.go

// Ending is the way in which one attempt at a backend server ended.
type Ending int

// The ways in which an attempt can end.
const (
	EndingAbandoned   Ending = iota // not sent, or cancelled by the caller; no evidence for or against the backend server
	EndingAnswered                  // a complete response with a success status
	EndingRejected                  // a complete response with a client error: the job itself is at fault
	EndingFailed                    // a complete response with a server error
	EndingRefused                   // an explicit refusal (Basil-Not-Started): the job was not started
	EndingUnreachable               // no byte of the request was sent
	EndingBroken                    // the connection failed after a byte was sent, or the response is unusable
	EndingTimeout                   // no complete response before the deadline
)
