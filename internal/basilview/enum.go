package basilview

//go:generate go tool -modfile=../../tools/go.mod enumer -type=Standing -trimprefix=Standing -transform=kebab -json -text -output=standing_enumer.go

// Standing tells how far an entry host may serve.
type Standing int

// The standings.
const (
	StandingStarting    Standing = iota // has no view yet
	StandingUnconfirmed                 // has a view, but its membership is not confirmed
	StandingMember                      // registered in the table
	StandingSponsored                   // serves under a registered member of its data centre
	StandingFenced                      // replaced by another incarnation; never serves again
)
