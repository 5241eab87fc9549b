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

// wavePageSize is how many waves one query reads.
const wavePageSize = 200

// Actions of waves, as the trail names them.
const (
	actionCreate   = "create wave"
	actionStart    = "start wave"
	actionPause    = "pause wave"
	actionResume   = "resume wave"
	actionAbort    = "abort wave"
	actionComplete = "complete wave"
)

var validate = validator.New(validator.WithRequiredStructEnabled())

// Waves declares, changes and reads waves in the platform's table.
type Waves struct{ trail *basilaudit.Trail }

// NewWaves returns the waves whose changes go on the trail.
func NewWaves(t *basilaudit.Trail) *Waves { return &Waves{trail: t} }

func waveKey(name string) basilplatform.Key {
	return basilplatform.Key{Partition: wavePartition, Sort: name}
}

func load(ctx context.Context, t basilplatform.Table, name string) (basilmodel.Wave, int64, error) {
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

// Wave returns one wave; it fails with ErrWaveNotExist and as the table does.
func (w *Waves) Wave(ctx context.Context, name string) (basilmodel.Wave, error) {
	found, _, err := load(ctx, w.trail.Table(), name)
	return found, err
}

// List returns all waves by name.
func (w *Waves) List(ctx context.Context) ([]basilmodel.Wave, error) {
	var waves []basilmodel.Wave
	after := ""
	for {
		items, err := w.trail.Table().Query(ctx, wavePartition, after, wavePageSize)
		if err != nil || len(items) == 0 { // a page may be short before the end
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
	version int64 // of the wave that the command was made for; 0 for any
	next    func(w basilmodel.WaveRecord, exists bool, sequence int64) (basilmodel.WaveRecord, error)
}

// commit carries the change out and returns the wave as it is then.
func (w *Waves) commit(ctx context.Context, c change, a basilaudit.Actor) (basilmodel.Wave, error) {
	e, err := w.trail.Commit(ctx, func(ctx context.Context, t basilplatform.Table) (basilaudit.Change, error) {
		made, refusal := w.decide(ctx, t, c, a)
		if refusal == nil || basilplatform.IsErrUnavailable(refusal) {
			return made, refusal
		}
		if _, repeated, err := w.trail.Command(ctx, a.Command); err != nil || repeated {
			return basilaudit.Change{Entry: basilaudit.EntryRecord{Command: a.Command}}, err
		}
		return made, refusal
	})
	if err != nil {
		return basilmodel.Wave{}, err
	}
	r := e.Record()
	if r.Action != c.action || r.Subject != c.name {
		return basilmodel.Wave{}, errors.WithStack(basilconfig.ErrCommandReused{Command: a.Command})
	}
	var made basilmodel.Wave
	return made, errors.WithStack(json.Unmarshal(r.Detail, &made))
}

func (w *Waves) decide(ctx context.Context, t basilplatform.Table, c change, a basilaudit.Actor) (basilaudit.Change, error) {
	head, err := w.trail.Head(ctx)
	if err != nil {
		return basilaudit.Change{}, err
	}
	found, version, err := load(ctx, t, c.name)
	if err != nil && !IsErrWaveNotExist(err) {
		return basilaudit.Change{}, err
	}
	if c.version != 0 && c.version != found.Version() {
		return basilaudit.Change{}, errors.WithStack(ErrWaveStale{Name: c.name, Version: c.version, Current: found.Version()})
	}
	r, err := c.next(found.Record(), version > 0, head+1)
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
