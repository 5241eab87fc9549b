package basilplatform

import (
	"fmt"
	"unicode/utf8"
)

// MaxTransactionBytes is the largest total size of the items of one transaction.
const MaxTransactionBytes = 4 << 20

// MaxTokenBytes is the longest token of a transaction.
const MaxTokenBytes = 36

// itemOverheadBytes is what the attribute names and the version add to an item.
const itemOverheadBytes = 40

// ItemBytes returns the size that the table service counts for a write's item.
func ItemBytes(w Write, token string) int {
	return len(w.Key.Partition) + len(w.Key.Sort) + len(token) + len(w.Body) + itemOverheadBytes
}

// CheckTransaction fails with ErrRefused when the table service would not take the transaction.
func CheckTransaction(t Transaction) error {
	switch {
	case t.Token == "" || len(t.Token) > MaxTokenBytes:
		return refuse("token of %d bytes", len(t.Token))
	case len(t.Writes) == 0 || len(t.Writes) > MaxTransactionWrites:
		return refuse("%d writes", len(t.Writes))
	}
	seen := make(map[Key]bool, len(t.Writes))
	var total int
	for _, w := range t.Writes {
		size := ItemBytes(w, t.Token)
		total += size
		switch {
		case w.Key.Partition == "" || w.Key.Sort == "":
			return refuse("empty key [partition: %s, sort: %s]", w.Key.Partition, w.Key.Sort)
		case !utf8.ValidString(w.Key.Partition) || !utf8.ValidString(w.Key.Sort):
			return refuse("key is no UTF-8 [partition: %q, sort: %q]", w.Key.Partition, w.Key.Sort)
		case w.Kind == WriteKindCheck && w.Precondition == PreconditionNone:
			return refuse("check without a precondition [partition: %s, sort: %s]", w.Key.Partition, w.Key.Sort)
		case seen[w.Key]:
			return refuse("two writes of one item [partition: %s, sort: %s]", w.Key.Partition, w.Key.Sort)
		case size > MaxItemBytes:
			return refuse("item of %d bytes [partition: %s, sort: %s]", size, w.Key.Partition, w.Key.Sort)
		}
		seen[w.Key] = true
	}
	if total > MaxTransactionBytes {
		return refuse("transaction of %d bytes", total)
	}
	return nil
}

func refuse(format string, args ...any) error {
	return ErrRefused{Operation: "transact", Reason: fmt.Sprintf(format, args...)}
}
