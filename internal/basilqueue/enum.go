package basilqueue

//go:generate go tool -modfile=../../tools/go.mod enumer -type=Class -trimprefix=Class -transform=kebab -text -output=class_enumer.go

// Class tells which jobs wait in line with each other.
type Class int

// The classes, in the order of their precedence.
const (
	ClassUrgent Class = iota
	ClassShort
	ClassUnproven // of a kind that has not shown its run times yet
	ClassLong
)

const classes = int(ClassLong) + 1
