package basilwave

import (
	"context"
	"encoding/json"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilconfig"
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilplatform"
)

const wavePartition = "wave"

// wavePageSize is the number of waves read by one query.
const wavePageSize = 200

// Wave actions, as written in the audit trail.
const (
	actionCreate   = "create wave"
	actionStart    = "start wave"
	actionPause    = "pause wave"
	actionResume   = "resume wave"
	actionAbort    = "abort wave"
	actionComplete = "complete wave"
)

var validate = validator.New(validator.WithRequiredStructEnabled())

// Waves creates, changes and reads the waves in the platform's table.
type Waves struct{ trail *basilaudit.Trail }

// NewWaves returns the waves in the table of t; their changes are recorded in t.
func NewWaves(t *basilaudit.Trail) *Waves { return &Waves{trail: t} }

func waveKey(name string) basilplatform.Key {
	return basilplatform.Key{Partition: wavePartition, Sort: name}
}

func loadWave(ctx context.Context, t basilplatform.Table, name string) (basilmodel.Wave, int64, error) {
	var w basilmodel.Wave
	i, err := t.Get(ctx, waveKey(name))
	if basilplatform.IsErrItemNotExist(err) {
		return w, 0, errors.WithStack(ErrWaveNotExist{Name: name})
	}
	if err != nil {
		return w, 0, err
	}
	return w, i.Version, errors.WithStack(json.Unmarshal(i.Body, &w))
}

// Wave returns one wave. It returns ErrWaveNotExist or an error of the table.
func (w *Waves) Wave(ctx context.Context, name string) (basilmodel.Wave, error) {
	found, _, err := loadWave(ctx, w.trail.Table(), name)
	return found, err
}

// List returns all waves, ordered by name.
func (w *Waves) List(ctx context.Context) ([]basilmodel.Wave, error) {
	var waves []basilmodel.Wave
	after := ""
	for {
		items, err := w.trail.Table().Query(ctx, wavePartition, after, wavePageSize)
		if err != nil || len(items) == 0 { // a short page isn't necessarily the last one
			return waves, err
		}
		for _, i := range items {
			var found basilmodel.Wave
			if err := json.Unmarshal(i.Body, &found); err != nil {
				return nil, errors.WithStack(err)
			}
			waves = append(waves, found)
		}
		after = items[len(items)-1].Key.Sort
	}
}

// change is one command on a wave.
type change struct {
	action  string
	name    string
	version int64 // that the wave must have; 0 accepts any
	apply   func(w basilmodel.WaveRecord, exists bool, sequence int64) (basilmodel.WaveRecord, error)
}

// commit applies the change and returns the resulting wave.
//
// A command that was committed before returns its earlier result, even if the
// change would be refused now.
func (w *Waves) commit(ctx context.Context, c change, a basilaudit.Actor) (basilmodel.Wave, error) {
	e, err := w.trail.Commit(ctx, func(ctx context.Context, t basilplatform.Table) (basilaudit.Change, error) {
		proposed, refusal := w.buildChange(ctx, t, c, a)
		if refusal == nil || basilplatform.IsErrUnavailable(refusal) {
			return proposed, refusal
		}
		if _, repeated, err := w.trail.Command(ctx, a.Command); err != nil || repeated {
			return basilaudit.Change{Entry: basilaudit.EntryRecord{Command: a.Command}}, err
		}
		return proposed, refusal
	})
	if err != nil {
		return basilmodel.Wave{}, err
	}
	r := e.Record()
	if r.Action != c.action || r.Subject != c.name {
		return basilmodel.Wave{}, errors.WithStack(basilconfig.ErrCommandReused{Command: a.Command})
	}
	var result basilmodel.Wave
	return result, errors.WithStack(json.Unmarshal(r.Detail, &result))
}

func (w *Waves) buildChange(ctx context.Context, t basilplatform.Table, c change, a basilaudit.Actor) (basilaudit.Change, error) {
	head, err := w.trail.Head(ctx)
	if err != nil {
		return basilaudit.Change{}, err
	}
	found, version, err := loadWave(ctx, t, c.name)
	if err != nil && !IsErrWaveNotExist(err) {
		return basilaudit.Change{}, err
	}
	if c.version != 0 && c.version != found.Version() {
		return basilaudit.Change{}, errors.WithStack(ErrWaveStale{Name: c.name, Version: c.version, Current: found.Version()})
	}
	r, err := c.apply(found.Record(), version > 0, head+1)
	if err != nil {
		return basilaudit.Change{}, err
	}
	r.Reason = a.Reason
	r.Version++
	body, err := json.Marshal(basilmodel.NewWave(r))
	if err != nil {
		return basilaudit.Change{}, errors.WithStack(err)
	}
	write := basilplatform.Write{Kind: basilplatform.WriteKindPut, Key: waveKey(c.name), Body: body}
	if version > 0 {
		write.Precondition = basilplatform.PreconditionVersion
		write.Version = version
	}
	return basilaudit.Change{
		Entry: basilaudit.EntryRecord{
			Operator: a.Operator, Command: a.Command, Reason: a.Reason, Action: c.action, Subject: c.name, Detail: body,
		},
		Writes: []basilplatform.Write{write},
	}, nil
}
