package basilplatform

import "context"

// MaxTransactionWrites is the most writes that one transaction may carry.
const MaxTransactionWrites = 100

// MaxItemBytes is the largest body that the table service stores.
const MaxItemBytes = 400 << 10

// Key names one item of the table.
type Key struct {
	Partition string
	Sort      string
}

// Item is one stored item; its version is 1 after the first write and grows by one with each.
type Item struct {
	Key     Key
	Version int64
	Token   string // of the transaction that wrote it
	Body    []byte
}

// Precondition tells what must be true of an item for a write to take effect.
type Precondition int

// The preconditions.
const (
	PreconditionAbsent  Precondition = iota // no such item
	PreconditionVersion                     // the item has exactly the given version
	PreconditionNone                        // anything; for items with a single writer
)

// WriteKind tells what a write does to its item.
type WriteKind int

// The kinds of writes.
const (
	WriteKindPut    WriteKind = iota // stores the body
	WriteKindDelete                  // removes the item
	WriteKindCheck                   // only checks the precondition
)

// Write is one part of a transaction.
type Write struct {
	Kind         WriteKind
	Key          Key
	Precondition Precondition
	Version      int64 // for PreconditionVersion
	Body         []byte
}

// Transaction is a set of writes of which all take effect, or none.
type Transaction struct {
	Token  string // unique to the attempt's intent; a repeat with it has no second effect
	Writes []Write
}

// Table is the platform's transactional table service; reads are strongly consistent.
//
// Get fails with ErrItemNotExist, Transact with ErrConditionFailed (nothing was
// written), each of them with ErrUnavailable (nothing was written) or
// ErrOutcomeUnknown (Transact only: it may have been written, now or later).
type Table interface {
	Get(ctx context.Context, k Key) (Item, error)
	// Query returns up to limit items of the partition in sort order, after the given sort key.
	Query(ctx context.Context, partition, after string, limit int) ([]Item, error)
	Transact(ctx context.Context, t Transaction) error
}
