package basilledger

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilwork"
)

// gzipMagic begins a compressed body; no JSON text begins so.
var gzipMagic = []byte{0x1f, 0x8b}

func compress(body []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(body); err != nil {
		return nil, err
	}
	err = w.Close()
	return b.Bytes(), err
}

// decompress returns the JSON text of a body.
func decompress(body []byte) ([]byte, error) {
	if !bytes.HasPrefix(body, gzipMagic) {
		return body, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(r)
}

// Compact returns the entry in the next smaller form of its record: compressed first, then also without the checkpoints of its tasks, which
// cost no more than the work that is done again. It returns false if there is none. Releases before 2026-12 can't read these forms, so only
// records that the store refuses otherwise are stored in them.
func (e Entry) Compact() (Entry, bool) {
	if e.Form == FormWithoutCheckpoints {
		return e, false
	}
	r, err := Decode(basilplatform.Item{Body: e.Body})
	if err != nil {
		return e, false
	}
	e.Form++
	e.Body, err = encodeRecord(&r, e.Form)
	return e, err == nil
}

// Form is the form of a stored record.
type Form int

// The forms of a record, from the largest to the smallest.
const (
	FormPlain Form = iota
	FormCompressed
	FormWithoutCheckpoints
)

// encodeRecord returns the body of a record; it fails with ErrRecordUnreadable.
func encodeRecord(r *basilwork.Record, f Form) ([]byte, error) {
	if f == FormWithoutCheckpoints {
		reduced := r.WithoutCheckpoints()
		r = &reduced
	}
	body, err := json.Marshal(r)
	if err == nil && f != FormPlain {
		body, err = compress(body)
	}
	if err != nil {
		return nil, errors.WithStack(ErrRecordUnreadable{Key: r.Job.ID, Cause: err})
	}
	return body, nil
}
