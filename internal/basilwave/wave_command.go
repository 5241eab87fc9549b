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

// Create stores a new wave, which changes no host until it is started.
//
// It returns ErrWaveExists, ErrWaveInvalid or an error of basilaudit.Trail.Commit.
func (w *Waves) Create(ctx context.Context, r basilmodel.WaveRecord, a basilaudit.Actor) (basilmodel.Wave, error) {
	if err := validate.Struct(r); err != nil {
		return basilmodel.Wave{}, errors.WithStack(ErrWaveInvalid{Detail: err.Error()})
	}
	return w.commit(ctx, change{action: actionCreate, name: r.Name, apply: func(_ basilmodel.WaveRecord, exists bool, _ int64) (basilmodel.WaveRecord, error) {
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

// Start starts a created wave.
//
// Like Pause, Resume and Abort it returns ErrWaveNotExist, ErrWaveConflict or an
// error of basilaudit.Trail.Commit.
func (w *Waves) Start(ctx context.Context, name string, a basilaudit.Actor) (basilmodel.Wave, error) {
	return w.commit(ctx, transition(actionStart, name, 0, basilmodel.WaveStateRunning, basilmodel.WaveStateCreated), a)
}

// Pause pauses a running wave: it takes no further hosts out of service.
func (w *Waves) Pause(ctx context.Context, name string, a basilaudit.Actor) (basilmodel.Wave, error) {
	return w.commit(ctx, transition(actionPause, name, 0, basilmodel.WaveStatePaused, basilmodel.WaveStateRunning), a)
}

// Resume resumes a paused wave; earlier host failures no longer count against its limit.
func (w *Waves) Resume(ctx context.Context, name string, a basilaudit.Actor) (basilmodel.Wave, error) {
	return w.commit(ctx, transition(actionResume, name, 0, basilmodel.WaveStateRunning, basilmodel.WaveStatePaused), a)
}

// Abort ends a wave permanently; hosts that are out of service for it return.
func (w *Waves) Abort(ctx context.Context, name string, a basilaudit.Actor) (basilmodel.Wave, error) {
	return w.commit(ctx, transition(actionAbort, name, 0, basilmodel.WaveStateAborted,
		basilmodel.WaveStateCreated, basilmodel.WaveStateRunning, basilmodel.WaveStatePaused), a)
}

// pausePlanned pauses the wave if it still has the version that the step was planned for.
func (w *Waves) pausePlanned(ctx context.Context, s Step, a basilaudit.Actor) error {
	_, err := w.commit(ctx, transition(actionPause, s.Wave, s.Version, basilmodel.WaveStatePaused, basilmodel.WaveStateRunning), a)
	return err
}

// completePlanned marks the wave as done if it still has the version that the step was planned for.
func (w *Waves) completePlanned(ctx context.Context, s Step, a basilaudit.Actor) error {
	_, err := w.commit(ctx, transition(actionComplete, s.Wave, s.Version, basilmodel.WaveStateDone, basilmodel.WaveStateRunning), a)
	return err
}

// requireRunning returns a guard that fails unless the wave is running.
func requireRunning(name string) basilpool.Guard {
	return func(ctx context.Context, t basilplatform.Table) error {
		w, _, err := loadWave(ctx, t, name)
		if err == nil && w.State() != basilmodel.WaveStateRunning {
			err = errors.WithStack(ErrWaveConflict{Name: name, State: w.State(), Reason: w.Reason()})
		}
		return err
	}
}

// transition returns a change from one of the states in from to the state in to.
// A version other than 0 must match the wave's version.
func transition(action, name string, version int64, to basilmodel.WaveState, from ...basilmodel.WaveState) change {
	return change{action: action, name: name, version: version, apply: func(r basilmodel.WaveRecord, exists bool, sequence int64) (basilmodel.WaveRecord, error) {
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
