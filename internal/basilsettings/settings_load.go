package basilsettings

import (
	"os"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

const exampleHint = "compare with settings.example.yaml"

// Load reads settings and checks that the files they name can be read; it fails with ErrSettingsInvalid.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.WithStack(ErrSettingsInvalid{
			File: path, Detail: err.Error(), Hint: "give the path of a readable file",
		})
	}
	s, err := Parse(path, b)
	if err != nil {
		return Settings{}, err
	}
	if err := newChecker(path, b, &s.record).files(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// Parse reads settings from YAML without opening the files they name; it fails with ErrSettingsInvalid.
func Parse(name string, b []byte) (Settings, error) {
	var r Record
	if err := decode(name, b, &r); err != nil {
		return Settings{}, err
	}
	if err := newChecker(name, b, &r).content(); err != nil {
		return Settings{}, err
	}
	return Settings{record: r}, nil
}

// decode reads YAML; the library panics on some that is malformed, which is reported like any other fault.
func decode(name string, b []byte, r *Record) (err error) {
	defer func() {
		if recover() != nil {
			err = errors.WithStack(ErrSettingsInvalid{File: name, Detail: "YAML can't be read", Hint: exampleHint})
		}
	}()
	if err := yaml.UnmarshalWithOptions(b, r, yaml.Strict()); err != nil {
		return errors.WithStack(syntaxError(name, err))
	}
	return nil
}

func syntaxError(name string, err error) ErrSettingsInvalid {
	invalid := ErrSettingsInvalid{File: name, Detail: err.Error(), Hint: exampleHint}
	var positioned yaml.Error
	if !errors.As(err, &positioned) {
		return invalid
	}
	invalid.Detail = positioned.GetMessage()
	if t := positioned.GetToken(); t != nil && t.Position != nil {
		invalid.Line = t.Position.Line
	}
	return invalid
}
