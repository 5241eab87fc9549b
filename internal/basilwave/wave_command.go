package basilwave

import (
	"cmp"
	"context"
	"slices"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilpool"
)

// Create declares a wave, which touches no host until it is started.
//
// It fails with ErrWaveExists, ErrWaveInvalid and as basilaudit.Trail.Commit does.
func (w *Waves) Create(ctx context.Context, r basilmodel.WaveRecord, a basilaudit.Actor) (basilmodel.Wave, error) {
	if err := validate.Struct(r); err != nil {
		return basilmodel.Wave{}, errors.WithStack(ErrWaveInvalid{Detail: err.Error()})
	}
	return w.commit(ctx, change{action: actionCreate, name: r.Name, next: func(_ basilmodel.WaveRecord, exists bool, _ int64) (basilmodel.WaveRecord, error) {
		if exists {
			return r, errors.WithStack(ErrWaveExists{Name: r.Name})
		}
		r.State = basilmodel.WaveStateCreated
		r.Started = 0
		r.Resumed = 0
		r.Version = 0
		return r, nil
	}}, a)
}

// Start sets a created wave going.
//
// Like the commands below it fails with ErrWaveNotExist, ErrWaveConflict and as basilaudit.Trail.Commit does.
func (w *Waves) Start(ctx context.Context, name string, a basilaudit.Actor) (basilmodel.Wave, error) {
	return w.commit(ctx, turn(actionStart, name, 0, basilmodel.WaveStateRunning, basilmodel.WaveStateCreated), a)
}

// Pause stops a running wave from taking further hosts out.
func (w *Waves) Pause(ctx context.Context, name string, a basilaudit.Actor) (basilmodel.Wave, error) {
	return w.commit(ctx, turn(actionPause, name, 0, basilmodel.WaveStatePaused, basilmodel.WaveStateRunning), a)
}

// Resume sets a paused wave going again; failures up to now no longer count against it.
func (w *Waves) Resume(ctx context.Context, name string, a basilaudit.Actor) (basilmodel.Wave, error) {
	return w.commit(ctx, turn(actionResume, name, 0, basilmodel.WaveStateRunning, basilmodel.WaveStatePaused), a)
}

// Abort ends a wave for good; hosts that it holds go back into service.
func (w *Waves) Abort(ctx context.Context, name string, a basilaudit.Actor) (basilmodel.Wave, error) {
	return w.commit(ctx, turn(actionAbort, name, 0, basilmodel.WaveStateAborted,
		basilmodel.WaveStateCreated, basilmodel.WaveStateRunning, basilmodel.WaveStatePaused), a)
}

// stop pauses the wave that the step was planned on.
func (w *Waves) stop(ctx context.Context, s Step, a basilaudit.Actor) error {
	_, err := w.commit(ctx, turn(actionPause, s.Wave, s.Version, basilmodel.WaveStatePaused, basilmodel.WaveStateRunning), a)
	return err
}

// complete ends the wave that the step was planned on.
func (w *Waves) complete(ctx context.Context, s Step, a basilaudit.Actor) error {
	_, err := w.commit(ctx, turn(actionComplete, s.Wave, s.Version, basilmodel.WaveStateDone, basilmodel.WaveStateRunning), a)
	return err
}

// runs guards an order that only a running wave may give.
func runs(name string) basilpool.Guard {
	return func(ctx context.Context, t basilplatform.Table) error {
		w, _, err := load(ctx, t, name)
		if err == nil && w.State() != basilmodel.WaveStateRunning {
			err = errors.WithStack(ErrWaveConflict{Name: name, State: w.State(), Reason: w.Reason()})
		}
		return err
	}
}

// turn brings the wave from one of the states into another, if it still has the version, 0 for any.
func turn(action, name string, version int64, to basilmodel.WaveState, from ...basilmodel.WaveState) change {
	return change{action: action, name: name, version: version, next: func(r basilmodel.WaveRecord, exists bool, sequence int64) (basilmodel.WaveRecord, error) {
		if !exists {
			return r, errors.WithStack(ErrWaveNotExist{Name: name})
		}
		if !slices.Contains(from, r.State) {
			return r, errors.WithStack(ErrWaveConflict{Name: name, State: r.State, Reason: r.Reason})
		}
		r.State = to
		if to == basilmodel.WaveStateRunning {
			r.Resumed = sequence
			r.Started = cmp.Or(r.Started, sequence)
		}
		return r, nil
	}}
}
