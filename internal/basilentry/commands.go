package basilentry

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilcommand"
	"basilstage.example/basilstage/internal/basilconfig"
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilview"
	"basilstage.example/basilstage/pkg/basilapi"
)

// hostChange is one of the changes of basilpool.Pools.
type hostChange func(ctx context.Context, host string, a basilaudit.Actor) (basilmodel.Host, error)

// waveChange is one of the changes of basilwave.Waves.
type waveChange func(ctx context.Context, name string, a basilaudit.Actor) (basilmodel.Wave, error)

func newCommands(e *Entry) *basilcommand.Commands {
	c := &basilcommand.Commands{Move: e.moveHost, CreateWave: e.createWave, Apply: e.applyConfiguration}
	c.Add("drain", "host", onHost(e.pools.Drain))
	c.Add("return", "host", onHost(e.pools.Return))
	c.Add("fail", "host", onHost(e.pools.Fail))
	c.Add("remove", "host", onHost(e.pools.Remove))
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

func (e *Entry) createWave(ctx context.Context, name string, pools, dataCentres []string, a basilaudit.Actor) (basilcommand.Summary, error) {
	w, err := e.waves.Create(ctx, basilmodel.WaveRecord{Name: name, Pools: pools, DataCentres: dataCentres}, a)
	if err != nil {
		return "", err
	}
	return waveSummary(w), nil
}

func (e *Entry) applyConfiguration(ctx context.Context, base int64, document []byte, dryRun bool, a basilaudit.Actor) (basilcommand.Summary, error) {
	var r basilmodel.ConfigurationRecord
	if err := json.Unmarshal(document, &r); err != nil {
		return "", errors.WithStack(basilconfig.ErrConfigurationInvalid{Detail: err.Error(), Hint: "send the document as JSON"})
	}
	if dryRun {
		return "the configuration can be accepted", basilconfig.Check(r)
	}
	c, err := basilconfig.Apply(ctx, e.trail, base, r, a)
	if err != nil {
		return "", err
	}
	return basilcommand.Summary(fmt.Sprintf("revision %d accepted", c.Revision())), nil
}

func (e *Entry) forgetMember(ctx context.Context, name string, a basilaudit.Actor) (basilcommand.Summary, error) {
	if err := basilview.Leave(ctx, e.trail, name, a); err != nil {
		return "", err
	}
	return basilcommand.Summary("member " + name + " is no longer waited for"), nil
}

func (e *Entry) cancelJob(ctx context.Context, name string, _ basilaudit.Actor) (basilcommand.Summary, error) {
	id, err := basilapi.ParseJobID(name)
	if err != nil {
		return "", err
	}
	a, err := e.jobs.Cancel(ctx, id, 0)
	if err != nil {
		return "", err
	}
	return basilcommand.Summary("job " + name + ": " + a.Outcome.String()), nil
}
