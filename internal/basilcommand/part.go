package basilcommand

import (
	"encoding/hex"
	"math"
	"strconv"
	"strings"
	"time"

	"basilstage.example/basilstage/internal/basillanguage"
	"basilstage.example/basilstage/internal/basilmodel"
)

// tokenHashBytes is the length of a SHA-256 hash.
const tokenHashBytes = 32

var poolPart = part[basilmodel.Pool]{
	kind: kindPool,
	list: func(r *basilmodel.ConfigurationRecord) *[]basilmodel.Pool { return &r.Pools },
	name: func(p *basilmodel.Pool) *string { return &p.Name },
	fields: map[string]func(*basilmodel.Pool, basillanguage.Word) error{
		"spare": func(p *basilmodel.Pool, w basillanguage.Word) (err error) {
			p.Spare, err = parseBool(w)
			return err
		},
		"min-hosts": func(p *basilmodel.Pool, w basillanguage.Word) (err error) {
			p.MinHosts, err = parseCount(w)
			return err
		},
	},
}

var servicePart = part[basilmodel.Service]{
	kind: kindService,
	list: func(r *basilmodel.ConfigurationRecord) *[]basilmodel.Service { return &r.Services },
	name: func(s *basilmodel.Service) *string { return &s.Name },
	fields: map[string]func(*basilmodel.Service, basillanguage.Word) error{
		"pool": func(s *basilmodel.Service, w basillanguage.Word) error {
			s.Pool = w.Text
			return nil
		},
		"class": setClass,
		"min-available": func(s *basilmodel.Service, w basillanguage.Word) (err error) {
			s.MinAvailable, err = parseCount(w)
			return err
		},
		"timeout": setTimeout,
	},
}

var teamPart = part[basilmodel.Team]{
	kind: kindTeam,
	list: func(r *basilmodel.ConfigurationRecord) *[]basilmodel.Team { return &r.Teams },
	name: func(t *basilmodel.Team) *string { return &t.Name },
	fields: map[string]func(*basilmodel.Team, basillanguage.Word) error{
		"token-hash": setTokenHash,
		"operator": func(t *basilmodel.Team, w basillanguage.Word) (err error) {
			t.Operator, err = parseBool(w)
			return err
		},
		"rate": setRate,
		"burst": func(t *basilmodel.Team, w basillanguage.Word) (err error) {
			t.Burst, err = parseCount(w)
			return err
		},
	},
}

func parseCount(w basillanguage.Word) (int, error) {
	n, err := w.Int(0)
	return int(n), err
}

func setClass(s *basilmodel.Service, w basillanguage.Word) error {
	c, err := basilmodel.ServiceClassString(strings.ToLower(w.Text))
	if err != nil {
		return w.Unknown("service class", basilmodel.ServiceClassStrings())
	}
	s.Class = c
	return nil
}

func setTimeout(s *basilmodel.Service, w basillanguage.Word) error {
	d, err := time.ParseDuration(w.Text)
	if err != nil || d < 0 {
		return w.Invalid(strconv.Quote(w.Text) + " is not a time with its unit, such as 30s")
	}
	s.TimeoutMillis = d.Milliseconds()
	return nil
}

// setTokenHash never echoes the value in its error, since an operator may have entered the token itself.
func setTokenHash(t *basilmodel.Team, w basillanguage.Word) error {
	sum, err := hex.DecodeString(w.Text)
	if err != nil || len(sum) != tokenHashBytes {
		return w.Invalid("the token hash must be the SHA-256 of the token as 64 hexadecimal digits; never send the token")
	}
	t.TokenHash = strings.ToLower(w.Text)
	return nil
}

func setRate(t *basilmodel.Team, w basillanguage.Word) error {
	rate, err := strconv.ParseFloat(w.Text, 64)
	if err != nil || !(rate >= 0) || math.IsInf(rate, 0) {
		return w.Invalid(strconv.Quote(w.Text) + " is not a rate, in jobs a second")
	}
	t.RatePerSecond = rate
	return nil
}
