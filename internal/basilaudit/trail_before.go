package basilaudit

import (
	"context"
	"slices"
)

// Before returns up to limit entries with a lower sequence, newest first; it reads no other entries.
func (t *Trail) Before(ctx context.Context, sequence int64, limit int) ([]Entry, error) {
	after := max(sequence-1-int64(limit), 0)
	var all []Entry
	for after < sequence-1 {
		page, err := t.After(ctx, after, int(sequence-1-after))
		if err != nil {
			return nil, err
		}
		if len(page) == 0 {
			break
		}
		all = append(all, page...) // a page may hold fewer entries than asked for before the last one
		after = page[len(page)-1].Sequence()
	}
	slices.Reverse(all)
	return all, nil
}
