package basilwave_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilconfig"
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilwave"
)

func TestWaveCommands(t *testing.T) {
	type step struct {
		command string
		state   basilmodel.WaveState // expected if check is nil
		check   func(error) bool     // of the expected error
	}
	const created, running, paused, aborted = basilmodel.WaveStateCreated, basilmodel.WaveStateRunning, basilmodel.WaveStatePaused, basilmodel.WaveStateAborted
	tests := []struct {
		name  string
		steps []step
	}{
		{"all commands", []step{{"create", created, nil}, {"start", running, nil}, {"pause", paused, nil}, {"resume", running, nil}, {"abort", aborted, nil}}},
		{"unknown", []step{{"start", 0, basilwave.IsErrWaveNotExist}}},
		{"created twice", []step{{"create", created, nil}, {"create", 0, basilwave.IsErrWaveExists}}},
		{"started twice", []step{{"create", created, nil}, {"start", running, nil}, {"start", 0, basilwave.IsErrWaveConflict}}},
		{"resumed while running", []step{{"create", created, nil}, {"start", running, nil}, {"resume", 0, basilwave.IsErrWaveConflict}}},
		{"started after abort", []step{{"create", created, nil}, {"abort", aborted, nil}, {"start", 0, basilwave.IsErrWaveConflict}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, err := newFixture(t.Context(), 2, 1)
			must.NoError(t, err)
			for _, s := range tt.steps {
				w, err := f.command(t, s.command, ann)
				if s.check != nil {
					must.True(t, s.check(err), must.Sprint(err))
					continue
				}
				must.NoError(t, err)
				must.EqOp(t, s.state, w.State())
			}
		})
	}
}

func (f *fixture) command(t *testing.T, name string, a basilaudit.Actor) (basilmodel.Wave, error) {
	switch name {
	case "create":
		return f.waves.Create(t.Context(), basilmodel.WaveRecord{Name: "w"}, a)
	case "start":
		return f.waves.Start(t.Context(), "w", a)
	case "pause":
		return f.waves.Pause(t.Context(), "w", a)
	case "resume":
		return f.waves.Resume(t.Context(), "w", a)
	}
	return f.waves.Abort(t.Context(), "w", a)
}

func TestRepeatedWaveCommandIsIdempotent(t *testing.T) {
	f, err := newFixture(t.Context(), 2, 1)
	must.NoError(t, err)
	a := basilaudit.Actor{Operator: "ann", Command: "c1"}
	first, err := f.command(t, "create", a)
	must.NoError(t, err)
	again, err := f.command(t, "create", a)
	must.NoError(t, err)
	must.Eq(t, first.Record(), again.Record())
	_, err = f.command(t, "start", a)
	must.True(t, basilconfig.IsErrCommandReused(err), must.Sprint(err))
	_, err = f.waves.Create(t.Context(), basilmodel.WaveRecord{Name: "w2", MaxShare: 2}, ann)
	must.True(t, basilwave.IsErrWaveInvalid(err), must.Sprint(err))
}
