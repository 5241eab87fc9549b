package basilentry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/pkg/basilapi"
)

// anonymous is the team of callers while no team is declared.
const anonymous = "anonymous"

// caller is who sent a request.
type caller struct {
	team     string
	operator bool
}

// bootstrap is the operators' team while no team is declared.
const bootstrap = "bootstrap"

// access tells who is let in while the configuration declares no team.
type access struct {
	open          bool   // anyone, which the settings allow on loopback only
	bootstrapHash string // an operator with the token of this SHA-256
}

// authenticate finds the team whose token the request bears.
func authenticate(c basilmodel.Configuration, a access, r *http.Request) (caller, error) {
	teams := c.Teams()
	if len(teams) == 0 && a.open {
		return caller{team: anonymous, operator: true}, nil
	}
	if len(teams) == 0 && a.bootstrapHash != "" {
		teams = []basilmodel.Team{{Name: bootstrap, TokenHash: a.bootstrapHash, Operator: true}}
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return caller{}, refuse(basilapi.CodeUnauthenticated, "the request bears no token", "send Authorization: Bearer TOKEN", 0)
	}
	t, ok := teamOf(teams, token)
	if !ok {
		return caller{}, refuse(basilapi.CodeUnauthenticated, "the token is no team's", "ask your operator for a token", 0)
	}
	return caller{team: t.Name, operator: t.Operator}, nil
}

// teamOf compares with every team, so that the time taken tells nothing.
func teamOf(teams []basilmodel.Team, token string) (basilmodel.Team, bool) {
	sum := sha256.Sum256([]byte(token))
	hash := []byte(hex.EncodeToString(sum[:]))
	found := -1
	for n, t := range teams {
		if subtle.ConstantTimeCompare(hash, []byte(strings.ToLower(t.TokenHash))) == 1 {
			found = n
		}
	}
	if found < 0 {
		return basilmodel.Team{}, false
	}
	return teams[found], true
}

func requireOperator(c caller) error {
	if c.operator {
		return nil
	}
	return refuse(basilapi.CodeForbidden, "team "+c.team+" may not give queries and commands", "use an operator's token", 0)
}
