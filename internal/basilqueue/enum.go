package basilqueue

//go:generate go tool -modfile=../../tools/go.mod enumer -type=Class -trimprefix=Class -transform=kebab -text -output=class_enumer.go

// Class tells which jobs wait in line with each other.
type Class int

// The classes, in the order of their precedence.
const (
	ClassUrgent Class = iota
	ClassShort
	ClassLong // known or found to run long, or of a kind that has not shown its run times yet
)

const classes = int(ClassLong) + 1
