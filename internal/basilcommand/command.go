package basilcommand

import (
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basillanguage"
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/pkg/basilapi"
)

// Summary describes what a command did, in one line or in one line per change of the configuration.
type Summary string

// Action executes one verb on the named object.
type Action func(ctx context.Context, name string, a basilaudit.Actor) (Summary, error)

// Mover moves a host to a pool.
type Mover func(ctx context.Context, host, pool string, a basilaudit.Actor) (Summary, error)

// WaveCreator creates a maintenance wave.
type WaveCreator func(ctx context.Context, w basilmodel.WaveRecord, a basilaudit.Actor) (Summary, error)

// Document is a complete configuration sent by an operator.
type Document struct {
	Base   int64 // the revision on which the document is based
	Newest bool  // the document is based on the newest known revision; Base is not set
	Body   []byte
}

// Applier accepts the document as a new revision, or with dryRun reports what it would change.
type Applier func(ctx context.Context, d Document, dryRun bool, a basilaudit.Actor) (Summary, error)

// Change derives the record of the next revision from the current configuration.
type Change func(c basilmodel.Configuration) (basilmodel.ConfigurationRecord, error)

// Changer applies the change as a new revision, or with dryRun reports what it would change.
type Changer func(ctx context.Context, change Change, dryRun bool, a basilaudit.Actor) (Summary, error)

// Reverter creates a new revision with the content of an old one, or with dryRun reports what it would change.
type Reverter func(ctx context.Context, revision int64, dryRun bool, a basilaudit.Actor) (Summary, error)

// Commands dispatches operator commands to registered actions. The zero value has no actions.
type Commands struct {
	Move       Mover
	CreateWave WaveCreator
	Apply      Applier
	Change     Changer
	Revert     Reverter
	actions    map[string]Action // keyed by "verb kind"
}

// Add registers the action for a verb on objects of the kind.
func (c *Commands) Add(verb, kind string, a Action) {
	if c.actions == nil {
		c.actions = make(map[string]Action)
	}
	c.actions[verb+" "+kind] = a
}

// Run parses and executes one command on behalf of the operator.
//
// It fails with basillanguage.ErrSyntax, basillanguage.ErrUnknownWord, ErrDryRunNotKnown or the action's error.
func (c *Commands) Run(ctx context.Context, operator string, r basilapi.OperatorRequest) (basilapi.CommandAnswer, error) {
	parsed, err := basillanguage.Parse(parser, r.Text, keywords)
	if err != nil {
		return basilapi.CommandAnswer{}, err
	}
	a := basilaudit.Actor{Operator: operator, Command: r.ID, Reason: r.Reason}
	s, err := c.execute(ctx, parsed, r, a)
	return basilapi.CommandAnswer{ID: r.ID, Summary: string(s)}, err
}

func (c *Commands) execute(ctx context.Context, s *sentence, r basilapi.OperatorRequest, a basilaudit.Actor) (Summary, error) {
	switch {
	case s.Apply != nil:
		return c.apply(ctx, s.Apply, r, a)
	case s.Revert != nil:
		return c.revert(ctx, s.Revert, r.DryRun, a)
	case s.Edit != nil:
		change, err := s.Edit.change()
		if err != nil {
			return "", err
		}
		return c.Change(ctx, change, r.DryRun, a)
	case s.Simple != nil && strings.EqualFold(s.Simple.Verb.Text, "remove") && isPart(s.Simple.Kind.Text):
		return c.Change(ctx, s.Simple.removal(), r.DryRun, a)
	case r.DryRun:
		return "", errors.WithStack(ErrDryRunNotKnown{Text: r.Text})
	case s.Move != nil:
		return c.Move(ctx, s.Move.Host.Text, s.Move.Pool.Text, a)
	case s.Create != nil:
		w, err := s.Create.record()
		if err != nil {
			return "", err
		}
		return c.CreateWave(ctx, w, a)
	}
	return c.simple(ctx, s.Simple, a)
}

func (c *Commands) apply(ctx context.Context, s *apply, r basilapi.OperatorRequest, a basilaudit.Actor) (Summary, error) {
	d := Document{Newest: s.Base == nil, Body: r.Body}
	if s.Base != nil {
		n, err := s.Base.Int(0)
		if err != nil {
			return "", err
		}
		d.Base = n
	}
	return c.Apply(ctx, d, r.DryRun, a)
}

func (c *Commands) revert(ctx context.Context, s *revert, dryRun bool, a basilaudit.Actor) (Summary, error) {
	n, err := s.To.Int(1)
	if err != nil {
		return "", err
	}
	return c.Revert(ctx, n, dryRun, a)
}

func (c *Commands) simple(ctx context.Context, s *simple, a basilaudit.Actor) (Summary, error) {
	key := strings.ToLower(s.Verb.Text + " " + s.Kind.Text)
	action, ok := c.actions[key]
	if !ok {
		known := slices.Sorted(maps.Keys(c.actions))
		known = append(known, "move host", "create wave", "apply configuration", "revert configuration",
			"remove pool", "remove service", "remove team", "add pool", "add service", "add team", "set pool", "set service", "set team")
		return "", basillanguage.Word{Pos: s.Verb.Pos, Text: key}.Unknown("command", known)
	}
	return action(ctx, s.Name.Text, a)
}
