package basilcommand

import (
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basillanguage"
	"basilstage.example/basilstage/pkg/basilapi"
)

// Summary tells in one line what a command did.
type Summary string

// Action carries out one verb on the named thing.
type Action func(ctx context.Context, name string, a basilaudit.Actor) (Summary, error)

// Mover carries out host moves.
type Mover func(ctx context.Context, host, pool string, a basilaudit.Actor) (Summary, error)

// WaveCreator declares a maintenance wave.
type WaveCreator func(ctx context.Context, name string, pools, dataCentres []string, a basilaudit.Actor) (Summary, error)

// Applier accepts the configuration document as the revision that follows base.
type Applier func(ctx context.Context, base int64, document []byte, dryRun bool, a basilaudit.Actor) (Summary, error)

// Commands carries out commands through the actions that were added; its zero value knows none.
type Commands struct {
	Move       Mover
	CreateWave WaveCreator
	Apply      Applier
	actions    map[string]Action // by "verb kind"
}

// Add lets operators give the verb for things of the kind.
func (c *Commands) Add(verb, kind string, a Action) {
	if c.actions == nil {
		c.actions = make(map[string]Action)
	}
	c.actions[verb+" "+kind] = a
}

// Run carries out one command for the operator.
//
// It fails with basillanguage.ErrSyntax, basillanguage.ErrUnknownWord or the action's error.
func (c *Commands) Run(ctx context.Context, operator string, r basilapi.OperatorRequest) (basilapi.CommandAnswer, error) {
	parsed, err := basillanguage.Parse(parser, r.Text, keywords)
	if err != nil {
		return basilapi.CommandAnswer{}, err
	}
	a := basilaudit.Actor{Operator: operator, Command: r.ID, Reason: r.Reason}
	s, err := c.carryOut(ctx, parsed, r, a)
	return basilapi.CommandAnswer{ID: r.ID, Summary: string(s)}, err
}

func (c *Commands) carryOut(ctx context.Context, s *sentence, r basilapi.OperatorRequest, a basilaudit.Actor) (Summary, error) {
	switch {
	case s.Move != nil:
		return c.Move(ctx, s.Move.Host, s.Move.Pool, a)
	case s.Create != nil:
		return c.CreateWave(ctx, s.Create.Name, s.Create.Pools, s.Create.DataCentres, a)
	case s.Apply != nil:
		return c.Apply(ctx, s.Apply.Base, r.Body, r.DryRun, a)
	}
	return c.simple(ctx, s.Simple, a)
}

func (c *Commands) simple(ctx context.Context, s *simple, a basilaudit.Actor) (Summary, error) {
	phrase := strings.ToLower(s.Verb + " " + s.Kind)
	do, ok := c.actions[phrase]
	if !ok {
		known := slices.Sorted(maps.Keys(c.actions))
		return "", errors.WithStack(basillanguage.ErrUnknownWord{
			Kind: "command", Word: phrase, Suggestion: basillanguage.Nearest(phrase, known),
		})
	}
	return do(ctx, s.Name, a)
}
