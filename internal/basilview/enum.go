package basilview

//go:generate go tool -modfile=../../tools/go.mod enumer -type=Standing -trimprefix=Standing -transform=kebab -json -text -output=standing_enumer.go

// Standing is the membership state of an entry host, which decides whether it may serve requests.
type Standing int

// Standings of an entry host.
const (
	StandingStarting    Standing = iota // no view loaded yet
	StandingUnconfirmed                 // view loaded, but membership not confirmed
	StandingMember                      // registered in the table and confirmed by a heartbeat
	StandingSponsored                   // serves under the registration of another member of its data centre
	StandingFenced                      // replaced by another incarnation; never serves again
)
