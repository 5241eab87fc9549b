package basilentry

import (
	"context"
	"fmt"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilcommand"
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilview"
	"basilstage.example/basilstage/pkg/basilapi"
)

// hostChange is one of the changes of basilpool.Pools.
type hostChange func(ctx context.Context, host string, a basilaudit.Actor) (basilmodel.Host, error)

// waveChange is one of the changes of basilwave.Waves.
type waveChange func(ctx context.Context, name string, a basilaudit.Actor) (basilmodel.Wave, error)

func newCommands(e *Entry) *basilcommand.Commands {
	c := &basilcommand.Commands{
		Move: e.moveHost, CreateWave: e.createWave,
		Apply: e.applyConfiguration, Change: e.changeConfiguration, Revert: e.revertConfiguration,
	}
	c.Add("drain", "host", onHost(e.pools.Drain))
	c.Add("maintain", "host", onHost(e.maintainHost))
	c.Add("return", "host", onHost(e.pools.Return))
	c.Add("fail", "host", onHost(e.pools.Fail))
	c.Add("remove", "host", e.removeHost)
	c.Add("start", "wave", onWave(e.waves.Start))
	c.Add("pause", "wave", onWave(e.waves.Pause))
	c.Add("resume", "wave", onWave(e.waves.Resume))
	c.Add("abort", "wave", onWave(e.waves.Abort))
	c.Add("forget", "member", e.forgetMember)
	c.Add("cancel", "job", e.cancelJob)
	return c
}

func onHost(change hostChange) basilcommand.Action {
	return func(ctx context.Context, name string, a basilaudit.Actor) (basilcommand.Summary, error) {
		h, err := change(ctx, name, a)
		if err != nil {
			return "", err
		}
		return hostSummary(h), nil
	}
}

func hostSummary(h basilmodel.Host) basilcommand.Summary {
	return basilcommand.Summary(fmt.Sprintf("%s is %s in pool %s, epoch %d", h.ID(), h.State(), h.Pool(), h.Epoch()))
}

func onWave(change waveChange) basilcommand.Action {
	return func(ctx context.Context, name string, a basilaudit.Actor) (basilcommand.Summary, error) {
		w, err := change(ctx, name, a)
		if err != nil {
			return "", err
		}
		return waveSummary(w), nil
	}
}

func waveSummary(w basilmodel.Wave) basilcommand.Summary {
	return basilcommand.Summary(fmt.Sprintf("wave %s is %s", w.Name(), w.State()))
}

func (e *Entry) moveHost(ctx context.Context, host, pool string, a basilaudit.Actor) (basilcommand.Summary, error) {
	h, err := e.pools.Move(ctx, host, pool, a)
	if err != nil {
		return "", err
	}
	return hostSummary(h), nil
}

// maintainHost hands a drained host to the platform; the executor asks for the reboot and takes the host back.
func (e *Entry) maintainHost(ctx context.Context, host string, a basilaudit.Actor) (basilmodel.Host, error) {
	h, err := e.pools.Host(ctx, host)
	if err != nil {
		return h, err
	}
	return e.pools.Maintain(ctx, host, h.Epoch(), a)
}

func (e *Entry) removeHost(ctx context.Context, host string, a basilaudit.Actor) (basilcommand.Summary, error) {
	h, err := e.pools.Remove(ctx, host, a)
	if err != nil {
		return "", err
	}
	return basilcommand.Summary(fmt.Sprintf("%s is struck off; it was %s in pool %s", h.ID(), h.State(), h.Pool())), nil
}

func (e *Entry) createWave(ctx context.Context, w basilmodel.WaveRecord, a basilaudit.Actor) (basilcommand.Summary, error) {
	made, err := e.waves.Create(ctx, w, a)
	if err != nil {
		return "", err
	}
	return waveSummary(made), nil
}

func (e *Entry) forgetMember(ctx context.Context, name string, a basilaudit.Actor) (basilcommand.Summary, error) {
	if err := basilview.Leave(ctx, e.trail, name, a); err != nil {
		return "", err
	}
	return basilcommand.Summary("member " + name + " is no longer waited for"), nil
}

// cancelJob cancels the job and then notes it on the trail; a repeat with the same id does both again, to no further effect.
func (e *Entry) cancelJob(ctx context.Context, name string, a basilaudit.Actor) (basilcommand.Summary, error) {
	id, err := basilapi.ParseJobID(name)
	if err != nil {
		return "", err
	}
	answer, err := e.jobs.Cancel(ctx, id, 0)
	if err != nil {
		return "", err
	}
	s := basilcommand.Summary("job " + name + ": " + answer.Outcome.String())
	_, err = e.trail.Commit(ctx, func(context.Context, basilplatform.Table) (basilaudit.Change, error) {
		return basilaudit.Change{Entry: basilaudit.EntryRecord{
			Operator: a.Operator, Command: a.Command, Reason: a.Reason, Action: "cancel job", Subject: name,
		}}, nil
	})
	if err != nil {
		e.log.WithField("job", name).WithField("command", a.Command).WithError(err).Warn("cancel not noted on the audit trail")
		return s + "; the audit trail could not be written, give the command again with the same id", nil
	}
	return s, nil
}
