package basilcommand

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basillanguage"
	"basilstage.example/basilstage/internal/basilmodel"
)

// Kinds of configuration objects.
const (
	kindPool    = "pool"
	kindService = "service"
	kindTeam    = "team"
)

var parts = []string{kindPool, kindService, kindTeam}

func isPart(kind string) bool { return slices.Contains(parts, strings.ToLower(kind)) }

// part describes one kind of named configuration object and how to set its fields.
type part[T any] struct {
	kind   string
	list   func(r *basilmodel.ConfigurationRecord) *[]T
	name   func(x *T) *string
	fields map[string]func(x *T, value basillanguage.Word) error
}

// change returns the change that the command requests; it fails with
// basillanguage.ErrUnknownWord or basillanguage.ErrSyntax.
func (e *edit) change() (Change, error) {
	switch strings.ToLower(e.Kind.Text) {
	case kindPool:
		return editChange(poolPart, e)
	case kindService:
		return editChange(servicePart, e)
	case kindTeam:
		return editChange(teamPart, e)
	}
	return nil, e.Kind.Unknown("kind", parts)
}

// editChange returns the change that adds or sets an object. It validates the
// fields at once, so that mistakes are reported before the configuration is read.
func editChange[T any](p part[T], e *edit) (Change, error) {
	var scratch T
	if err := p.set(&scratch, e.Fields); err != nil {
		return nil, err
	}
	if len(e.Fields) == 0 && strings.EqualFold(e.Verb, "set") {
		return nil, e.Name.Invalid("a field and its value must follow the name: " + strings.Join(p.fieldNames(), ", "))
	}
	return func(c basilmodel.Configuration) (basilmodel.ConfigurationRecord, error) {
		r := c.Record()
		all := p.list(&r)
		n := p.index(*all, e.Name.Text)
		adds := strings.EqualFold(e.Verb, "add")
		switch {
		case adds && n >= 0:
			return r, errors.WithStack(ErrPartExists{Kind: p.kind, Name: e.Name.Text})
		case !adds && n < 0:
			return r, p.notFound(*all, e.Name.Text)
		}
		*all = slices.Clone(*all)
		if adds {
			var x T
			*p.name(&x) = e.Name.Text
			*all = append(*all, x)
			n = len(*all) - 1
		}
		return r, p.set(&(*all)[n], e.Fields)
	}, nil
}

func (p part[T]) fieldNames() []string {
	var all []string
	for k := range p.fields {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

func (p part[T]) set(x *T, fields []field) error {
	for _, f := range fields {
		setField, ok := p.fields[strings.ToLower(f.Name.Text)]
		if !ok {
			return f.Name.Unknown("field of a "+p.kind, p.fieldNames())
		}
		if err := setField(x, f.Value); err != nil {
			return err
		}
	}
	return nil
}

func (p part[T]) index(all []T, name string) int {
	return slices.IndexFunc(all, func(x T) bool { return *p.name(&x) == name })
}

func (p part[T]) notFound(all []T, name string) error {
	var names []string
	for n := range all {
		names = append(names, *p.name(&all[n]))
	}
	return errors.WithStack(ErrPartNotExist{Kind: p.kind, Name: name, Suggestion: basillanguage.Nearest(name, names)})
}

// removal returns the change that removes the named object.
func (s *simple) removal() Change {
	switch strings.ToLower(s.Kind.Text) {
	case kindPool:
		return removeChange(poolPart, s.Name.Text)
	case kindService:
		return removeChange(servicePart, s.Name.Text)
	}
	return removeChange(teamPart, s.Name.Text)
}

func removeChange[T any](p part[T], name string) Change {
	return func(c basilmodel.Configuration) (basilmodel.ConfigurationRecord, error) {
		r := c.Record()
		all := p.list(&r)
		n := p.index(*all, name)
		if n < 0 {
			return r, p.notFound(*all, name)
		}
		*all = slices.Delete(slices.Clone(*all), n, n+1)
		return r, nil
	}
}

func parseBool(w basillanguage.Word) (bool, error) {
	switch strings.ToLower(w.Text) {
	case "yes", "true":
		return true, nil
	case "no", "false":
		return false, nil
	}
	return false, w.Invalid(fmt.Sprintf("%q is neither yes nor no", w.Text))
}
