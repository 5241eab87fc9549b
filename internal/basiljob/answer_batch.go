package basiljob

import (
	"context"
	"encoding/json"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/pkg/basilapi"
)

// Limits of the answers kept in the table.
const (
	answerBatchBytes = 128 << 10 // of bodies in one batch of several answers
	answerBatchTime  = 200 * time.Millisecond
	answerTimeout    = 2 * time.Second
	answerPage       = 16
	answerPages      = 8
)

func answerPartition(dataCentre string) string { return "job-answers/" + dataCentre }

// TableCopier writes final answers to the table, many in one item; it is a Copier.
//
// It waits a little before each write, so that a busy entry host makes few.
type TableCopier struct {
	table      basilplatform.Table
	dataCentre string
}

// NewTableCopier returns the copier for jobs that the data centre minted.
func NewTableCopier(t basilplatform.Table, dataCentre string) *TableCopier {
	return &TableCopier{table: t, dataCentre: dataCentre}
}

// Copy stores the answers; those that the table doesn't take are given up.
func (c *TableCopier) Copy(answers []basilapi.JobAnswer) {
	for len(answers) > 0 {
		n := batchLength(answers)
		c.write(answers[:n])
		answers = answers[n:]
	}
	time.Sleep(answerBatchTime)
}

// batchLength returns how many of the first answers go into one item, at least one.
func batchLength(answers []basilapi.JobAnswer) int {
	var bytes int
	for n, a := range answers {
		bytes += len(a.Answer) + answerOverhead
		if bytes > answerBatchBytes {
			return max(n, 1)
		}
	}
	return len(answers)
}

// answerOverhead is the size of an answer without its body, in bytes.
const answerOverhead = 256

func (c *TableCopier) write(answers []basilapi.JobAnswer) {
	body, err := json.Marshal(answers)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	key := basilplatform.Key{Partition: answerPartition(c.dataCentre), Sort: ulid.Make().String()}
	_ = c.table.Transact(ctx, basilplatform.Transaction{
		Token:  key.Sort,
		Writes: []basilplatform.Write{{Kind: basilplatform.WriteKindPut, Key: key, Body: body}},
	})
}

// Sweep deletes the batches that were written before the time, up to one page of them.
func (c *TableCopier) Sweep(ctx context.Context, before time.Time) error {
	items, err := c.table.Query(ctx, answerPartition(c.dataCentre), "", basilplatform.MaxTransactionWrites)
	if err != nil {
		return err
	}
	x := basilplatform.Transaction{Token: ulid.Make().String()}
	limit := sortAt(before)
	for _, i := range items {
		if i.Key.Sort < limit {
			x.Writes = append(x.Writes, basilplatform.Write{
				Kind: basilplatform.WriteKindDelete, Key: i.Key, Precondition: basilplatform.PreconditionNone,
			})
		}
	}
	if len(x.Writes) == 0 {
		return nil
	}
	return c.table.Transact(ctx, x)
}

// sortAt returns the smallest sort key of batches written at the time.
func sortAt(at time.Time) string {
	var s ulid.ULID
	_ = s.SetTime(ulid.Timestamp(at)) // fails only in the year 10889
	return s.String()
}

// storedAnswer looks for the answer in the batches written since the id was minted.
func storedAnswer(ctx context.Context, t basilplatform.Table, id basilapi.JobID) (basilapi.JobAnswer, bool, error) {
	after := sortAt(ulid.Time(id.Serial().Time()).Add(-clockSkew))
	for range answerPages {
		items, err := t.Query(ctx, answerPartition(id.DataCentre()), after, answerPage)
		if err != nil {
			return basilapi.JobAnswer{}, false, err
		}
		for _, i := range items {
			a, ok, err := findAnswer(i, id)
			if err != nil || ok {
				return a, ok, err
			}
			after = i.Key.Sort
		}
		if len(items) < answerPage {
			break
		}
	}
	return basilapi.JobAnswer{}, false, nil
}

// clockSkew is the most that the clock of one entry host is taken to step back.
const clockSkew = 5 * time.Second

func findAnswer(i basilplatform.Item, id basilapi.JobID) (basilapi.JobAnswer, bool, error) {
	var answers []basilapi.JobAnswer
	if err := json.Unmarshal(i.Body, &answers); err != nil {
		return basilapi.JobAnswer{}, false, errors.WithStack(ErrItemCorrupt{Key: i.Key, Cause: err})
	}
	for _, a := range answers {
		if a.ID == id {
			return a, true, nil
		}
	}
	return basilapi.JobAnswer{}, false, nil
}
