package basilconfig

import (
	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilmodel"
)

var validate = validator.New(validator.WithRequiredStructEnabled())

// Check validates the record; it fails with ErrConfigurationInvalid.
func Check(r basilmodel.ConfigurationRecord) error {
	if err := validate.Struct(r); err != nil {
		return errors.WithStack(ErrConfigurationInvalid{Detail: err.Error(), Hint: "mend the named field"})
	}
	pools := make(map[string]bool, len(r.Pools))
	for _, p := range r.Pools {
		if pools[p.Name] {
			return errors.WithStack(ErrConfigurationInvalid{Detail: "pool declared twice: " + p.Name, Hint: "pool names are unique"})
		}
		pools[p.Name] = true
	}
	services := make(map[string]bool, len(r.Services))
	for _, s := range r.Services {
		if services[s.Name] {
			return errors.WithStack(ErrConfigurationInvalid{Detail: "service declared twice: " + s.Name, Hint: "service names are unique"})
		}
		if !pools[s.Pool] {
			return errors.WithStack(ErrConfigurationInvalid{Detail: "service " + s.Name + " names the unknown pool " + s.Pool, Hint: "declare the pool or name another"})
		}
		services[s.Name] = true
	}
	teams := make(map[string]bool, len(r.Teams))
	for _, t := range r.Teams {
		if teams[t.Name] {
			return errors.WithStack(ErrConfigurationInvalid{Detail: "team declared twice: " + t.Name, Hint: "team names are unique"})
		}
		teams[t.Name] = true
	}
	return checkOperators(r.Teams)
}

// checkOperators requires an operator team with a token as soon as any team is
// declared, since nobody could run the next command otherwise.
func checkOperators(teams []basilmodel.Team) error {
	for _, t := range teams {
		if t.Operator && t.TokenHash != "" {
			return nil
		}
	}
	if len(teams) == 0 {
		return nil
	}
	return errors.WithStack(ErrConfigurationInvalid{Detail: "no team is an operator with a token", Hint: "declare one first: add team NAME operator yes token-hash HEX"})
}
