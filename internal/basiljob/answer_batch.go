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

// Limits for final answers stored in the table.
const (
	answerBatchBytes = 128 << 10 // total body size of a batch with more than one answer
	answerBatchDelay = 200 * time.Millisecond
	answerTimeout    = 2 * time.Second
	answerPageSize   = 16
	maxAnswerPages   = 8
)

func answerPartition(dataCentre string) string { return "job-answers/" + dataCentre }

// TableCopier is a Copier that writes final answers to the table, several per item.
//
// It pauses after each call, so that a busy entry host collects larger batches
// and makes fewer writes.
type TableCopier struct {
	table      basilplatform.Table
	dataCentre string
}

// NewTableCopier returns a copier for jobs whose ids were minted in the data centre.
func NewTableCopier(t basilplatform.Table, dataCentre string) *TableCopier {
	return &TableCopier{table: t, dataCentre: dataCentre}
}

// Copy stores the answers. Write errors are ignored and the answers concerned are not retried.
func (c *TableCopier) Copy(answers []basilapi.JobAnswer) {
	for len(answers) > 0 {
		n := batchLength(answers)
		c.write(answers[:n])
		answers = answers[n:]
	}
	time.Sleep(answerBatchDelay)
}

// batchLength returns the number of leading answers that fit into one item, at least one.
func batchLength(answers []basilapi.JobAnswer) int {
	var size int
	for n, a := range answers {
		size += len(a.Answer) + answerOverheadBytes
		if size > answerBatchBytes {
			return max(n, 1)
		}
	}
	return len(answers)
}

// answerOverheadBytes is the estimated encoded size of an answer without its body, in bytes.
const answerOverheadBytes = 256

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

// Sweep deletes batches written before the given time, at most one page per call.
func (c *TableCopier) Sweep(ctx context.Context, before time.Time) error {
	items, err := c.table.Query(ctx, answerPartition(c.dataCentre), "", basilplatform.MaxTransactionWrites)
	if err != nil {
		return err
	}
	tx := basilplatform.Transaction{Token: ulid.Make().String()}
	limit := sortKeyAt(before)
	for _, item := range items {
		if item.Key.Sort < limit {
			tx.Writes = append(tx.Writes, basilplatform.Write{
				Kind: basilplatform.WriteKindDelete, Key: item.Key, Precondition: basilplatform.PreconditionNone,
			})
		}
	}
	if len(tx.Writes) == 0 {
		return nil
	}
	return c.table.Transact(ctx, tx)
}

// sortKeyAt returns the smallest sort key of a batch written at the given time.
func sortKeyAt(at time.Time) string {
	var key ulid.ULID
	_ = key.SetTime(ulid.Timestamp(at)) // fails only in the year 10889
	return key.String()
}

// loadStoredAnswer searches the batches written since the id was minted, up to a fixed number of pages.
func loadStoredAnswer(ctx context.Context, t basilplatform.Table, id basilapi.JobID) (basilapi.JobAnswer, bool, error) {
	after := sortKeyAt(ulid.Time(id.Serial().Time()).Add(-maxClockSkew))
	for range maxAnswerPages {
		items, err := t.Query(ctx, answerPartition(id.DataCentre()), after, answerPageSize)
		if err != nil {
			return basilapi.JobAnswer{}, false, err
		}
		for _, item := range items {
			a, ok, err := findInBatch(item, id)
			if err != nil || ok {
				return a, ok, err
			}
			after = item.Key.Sort
		}
		if len(items) < answerPageSize {
			break
		}
	}
	return basilapi.JobAnswer{}, false, nil
}

// maxClockSkew is the assumed upper bound on how far the clock of an entry host is set back.
const maxClockSkew = 5 * time.Second

func findInBatch(item basilplatform.Item, id basilapi.JobID) (basilapi.JobAnswer, bool, error) {
	var answers []basilapi.JobAnswer
	if err := json.Unmarshal(item.Body, &answers); err != nil {
		return basilapi.JobAnswer{}, false, errors.WithStack(ErrItemCorrupt{Key: item.Key, Cause: err})
	}
	for _, a := range answers {
		if a.ID == id {
			return a, true, nil
		}
	}
	return basilapi.JobAnswer{}, false, nil
}
