package basilqueue

//go:generate go tool -modfile=../../tools/go.mod enumer -type=Class -trimprefix=Class -transform=kebab -text -output=class_enumer.go

// Class is a scheduling class; the jobs of one class wait in the same queue.
type Class int

// The scheduling classes, highest priority first.
const (
	ClassUrgent Class = iota
	ClassShort
	ClassUnproven // of a kind with too few observed runs
	ClassLong
)

const classCount = int(ClassLong) + 1
