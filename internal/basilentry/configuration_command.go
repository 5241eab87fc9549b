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
)

// maxChangeAttempts is how often a short change is made anew on a newer revision.
const maxChangeAttempts = 8

// applyConfiguration accepts a whole document; without a base it follows the newest revision known here.
func (e *Entry) applyConfiguration(ctx context.Context, d basilcommand.Document, dryRun bool, a basilaudit.Actor) (basilcommand.Summary, error) {
	var r basilmodel.ConfigurationRecord
	if err := json.Unmarshal(d.Body, &r); err != nil {
		return "", errors.WithStack(basilconfig.ErrConfigurationInvalid{Detail: err.Error(), Hint: "send the document as JSON"})
	}
	note := ""
	if d.Newest {
		d.Base = e.control.View().Configuration().Revision()
		note = fmt.Sprintf("; no base was given, so it follows revision %d, the newest known to %s", d.Base, e.settings.Member())
	}
	if dryRun {
		return e.dryRun(ctx, d.Base, r, note)
	}
	return e.accept(ctx, d.Base, r, note, a)
}

// changeConfiguration makes a new revision on top of the newest one, and anew when another was faster.
func (e *Entry) changeConfiguration(ctx context.Context, change basilcommand.Change, dryRun bool, a basilaudit.Actor) (basilcommand.Summary, error) {
	if s, ok, err := e.acceptedBefore(ctx, a, dryRun); ok || err != nil {
		return s, err
	}
	var s basilcommand.Summary
	var err error
	for range maxChangeAttempts {
		var current basilmodel.Configuration
		if current, _, err = basilconfig.Current(ctx, e.ports.Table); err != nil {
			return "", err
		}
		var r basilmodel.ConfigurationRecord
		if r, err = change(current); err != nil {
			return "", err
		}
		if dryRun {
			return e.dryRun(ctx, current.Revision(), r, "")
		}
		s, err = e.accept(ctx, current.Revision(), r, "", a)
		if !basilconfig.IsErrRevisionConflict(err) {
			return s, err
		}
	}
	return s, err
}

// revertConfiguration makes a new revision with the content of an old one.
func (e *Entry) revertConfiguration(ctx context.Context, revision int64, dryRun bool, a basilaudit.Actor) (basilcommand.Summary, error) {
	old, err := basilconfig.Revision(ctx, e.ports.Table, revision)
	if err != nil {
		return "", err
	}
	return e.changeConfiguration(ctx, func(basilmodel.Configuration) (basilmodel.ConfigurationRecord, error) {
		return old.Record(), nil
	}, dryRun, a)
}

// acceptedBefore tells whether the command made its revision before.
func (e *Entry) acceptedBefore(ctx context.Context, a basilaudit.Actor, dryRun bool) (basilcommand.Summary, bool, error) {
	if dryRun {
		return "", false, nil
	}
	x, ok, err := e.trail.Command(ctx, a.Command)
	if err != nil || !ok {
		return "", false, err
	}
	if x.Configuration() == nil {
		return "", false, errors.WithStack(basilconfig.ErrCommandReused{Command: a.Command})
	}
	return basilcommand.Summary(fmt.Sprintf("revision %d was accepted before", x.Configuration().Revision)), true, nil
}

// dryRun tells what the record would change, if it could be accepted.
func (e *Entry) dryRun(ctx context.Context, base int64, r basilmodel.ConfigurationRecord, note string) (basilcommand.Summary, error) {
	if err := basilconfig.Check(r); err != nil {
		return "", err
	}
	current, _, err := basilconfig.Current(ctx, e.ports.Table)
	if err != nil {
		return "", err
	}
	if current.Revision() != base {
		return "", errors.WithStack(basilconfig.ErrRevisionConflict{Base: base, Newest: current.Revision(), Author: current.Author()})
	}
	return summarise("nothing was changed; it would be revision %d", base+1, current, basilmodel.NewConfiguration(r), note), nil
}

func (e *Entry) accept(ctx context.Context, base int64, r basilmodel.ConfigurationRecord, note string, a basilaudit.Actor) (basilcommand.Summary, error) {
	c, err := basilconfig.Apply(ctx, e.trail, base, r, a)
	if err != nil {
		return "", err
	}
	if c.Revision() != base+1 {
		note = " before, by the same command"
	}
	before, err := basilconfig.Revision(ctx, e.ports.Table, c.Revision()-1)
	if err != nil { // it was accepted, only the differences can't be told
		return basilcommand.Summary(fmt.Sprintf("revision %d accepted%s", c.Revision(), note)), nil
	}
	return summarise("revision %d accepted", c.Revision(), before, c, note), nil
}

func summarise(format string, revision int64, before, after basilmodel.Configuration, note string) basilcommand.Summary {
	lines := differenceLines(before, after)
	if lines == "" {
		lines = "\n  no difference"
	}
	return basilcommand.Summary(fmt.Sprintf(format, revision) + note + lines)
}
