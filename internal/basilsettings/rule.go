package basilsettings

import (
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"

	"basilstage.example/basilstage/internal/basilkeys"
)

// rule tells how to report a field that breaks a validation tag.
type rule struct {
	text string
	hint string
}

// rules holds the reports by validation tag.
var rules = map[string]rule{
	"required":         {"is missing", "write it as in settings.example.yaml"},
	"required_without": {"is missing", "write it as in settings.example.yaml"},
	"excluded_with":    {"is written twice, in a file and in the settings", "keep the file only"},
	"identifier":       {"is no identifier: %q", "use lower-case letters, digits and hyphens, at most 63"},
	"ipport":           {"is no IP:port: %q", "use an IP number and a port, not a host name"},
	"endpoint":         {"is no endpoint: %q", "write http:// or https://, a host and a port, and nothing else"},
	"duration":         {"is no duration above zero: %q", "write a number with its unit, as in 3s or 500ms"},
	"oneof":            {"is not known: %q", "use debug, info, warn or error"},
	"gte":              {"is below zero: %v", "use 0 for the default"},
}

func ruleFor(tag string) rule {
	if r, found := rules[tag]; found {
		return r
	}
	return rule{text: "breaks the rule " + tag, hint: "compare with settings.example.yaml"}
}

func (r rule) detail(f validator.FieldError) string {
	if strings.Contains(r.text, "%") {
		return fmt.Sprintf(r.text, f.Value())
	}
	return r.text
}

var validate = newValidate()

func newValidate() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("yaml") })
	for tag, valid := range map[string]func(string) bool{
		"identifier": basilkeys.ValidMemberID,
		"ipport":     validIPPort,
		"endpoint":   validEndpoint,
		"duration":   validDuration,
	} {
		if err := v.RegisterValidation(tag, func(f validator.FieldLevel) bool { return valid(f.Field().String()) }); err != nil {
			panic(err)
		}
	}
	return v
}

func validIPPort(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified()
}

func validEndpoint(s string) bool {
	u, err := url.Parse(s)
	if err != nil || u.Host == "" || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		return false
	}
	return (u.Scheme == "http" || u.Scheme == "https") && strings.Trim(u.Path, "/") == ""
}

func validDuration(s string) bool {
	d, err := time.ParseDuration(s)
	return err == nil && d > 0
}
