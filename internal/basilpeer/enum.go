package basilpeer

//go:generate go tool -modfile=../../tools/go.mod enumer -type=RequestKind -trimprefix=RequestKind -transform=kebab -json -text -output=request_kind_enumer.go
//go:generate go tool -modfile=../../tools/go.mod enumer -type=ResponseCode -trimprefix=ResponseCode -transform=kebab -json -text -output=response_code_enumer.go

// RequestKind tells what a request asks for.
type RequestKind int

// The kinds of requests.
const (
	RequestKindNone    RequestKind = iota // never sent
	RequestKindSubmit                     // run a job whose id the peer minted
	RequestKindAnswer                     // the answer of a job
	RequestKindCancel                     // cancel a job
	RequestKindState                      // the newest configuration and hosts
	RequestKindSponsor                    // vouch for an entry host that can't register
)

// ResponseCode tells how a request ended at the peer.
type ResponseCode int

// The codes of responses.
const (
	ResponseCodeOK      ResponseCode = iota // handled; the body is the answer
	ResponseCodeRefused                     // not handled and without effect
	ResponseCodeFailed                      // the handler failed; it may have had an effect
)
