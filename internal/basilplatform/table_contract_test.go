package basilplatform_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sebdah/goldie/v2"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilplatform/basildynamo"
	"basilstage.example/basilstage/internal/basilstandin"
)

// tableKinds are the implementations that the contract holds for; each comes
// with the stand-in below it, whose faults it meets.
var tableKinds = []struct {
	name string
	open func(t testing.TB) (basilplatform.Table, *basilstandin.Table)
}{
	{"in memory", func(testing.TB) (basilplatform.Table, *basilstandin.Table) {
		t := new(basilstandin.Table)
		return t, t
	}},
	{"behind a breaker", func(testing.TB) (basilplatform.Table, *basilstandin.Table) {
		t := new(basilstandin.Table)
		return basilplatform.NewBreaker(t, basilplatform.BreakerOptions{}), t
	}},
	{"DynamoDB", func(t testing.TB) (basilplatform.Table, *basilstandin.Table) {
		p := basilstandin.NewPlatform(basilstandin.PlatformOptions{TableName: "stage"})
		s := httptest.NewServer(p.Handler())
		t.Cleanup(s.Close)
		return basildynamo.New(basildynamo.Options{Endpoint: s.URL, TableName: "stage", Timeout: time.Minute}), p.Table()
	}},
}

// outcomeOf names what an error says of the request's effect.
func outcomeOf(err error) string {
	var c basilplatform.ErrConditionFailed
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &c):
		return fmt.Sprintf("condition failed at %s/%s", c.Key.Partition, c.Key.Sort)
	case basilplatform.IsErrOutcomeUnknown(err):
		return "outcome unknown"
	case basilplatform.IsErrConflict(err):
		return "unavailable for a conflict"
	case basilplatform.IsErrUnavailable(err):
		return "unavailable"
	case basilplatform.IsErrRefused(err):
		return "refused"
	case basilplatform.IsErrItemNotExist(err):
		return "does not exist"
	}
	return "of no known type: " + err.Error()
}

// at names an item of partition p, or of another as "q/a".
func at(name string) basilplatform.Key {
	partition, sort, ok := strings.Cut(name, "/")
	if !ok {
		return basilplatform.Key{Partition: "p", Sort: name}
	}
	return basilplatform.Key{Partition: partition, Sort: sort}
}

func create(name, body string) basilplatform.Write {
	return basilplatform.Write{Key: at(name), Body: []byte(body)}
}

func replace(name string, version int64, body string) basilplatform.Write {
	return basilplatform.Write{Key: at(name), Precondition: basilplatform.PreconditionVersion, Version: version, Body: []byte(body)}
}

func overwrite(name, body string) basilplatform.Write {
	return basilplatform.Write{Key: at(name), Precondition: basilplatform.PreconditionNone, Body: []byte(body)}
}

func remove(w basilplatform.Write) basilplatform.Write {
	w.Kind = basilplatform.WriteKindDelete
	return w
}

func check(w basilplatform.Write) basilplatform.Write {
	w.Kind = basilplatform.WriteKindCheck
	return w
}

// step is one transaction under faults.
type step struct {
	token  string
	faults basilstandin.TableFaults
	writes []basilplatform.Write
}

func do(token string, writes ...basilplatform.Write) step { return step{token: token, writes: writes} }

func under(f basilstandin.TableFaults, token string, writes ...basilplatform.Write) step {
	return step{token: token, faults: f, writes: writes}
}

// many returns writes of n items whose bodies have the given size.
func many(n, size int) []basilplatform.Write {
	writes := make([]basilplatform.Write, n)
	for i := range writes {
		writes[i] = create(fmt.Sprintf("many-%03d", i), strings.Repeat("x", size))
	}
	return writes
}

var (
	down   = basilstandin.TableFaults{Down: true}
	lost   = basilstandin.TableFaults{LoseAnswers: true}
	clash  = basilstandin.TableFaults{Conflicts: true}
	vanish = basilstandin.TableFaults{LoseWrites: true}
)

var tableCases = []struct {
	name  string
	steps []step
}{
	{"create", []step{do("1", create("a", "one"))}},
	{"create twice", []step{do("1", create("a", "one")), do("2", create("a", "two"))}},
	{"empty body", []step{do("1", create("a", ""))}},
	{"replace", []step{do("1", create("a", "one")), do("2", replace("a", 1, "two")), do("3", replace("a", 1, "three"))}},
	{"replace what does not exist", []step{do("1", replace("a", 1, "one")), do("2", replace("a", 0, "one"))}},
	{"overwrite", []step{do("1", overwrite("a", "one")), do("2", overwrite("a", "two")), do("3", replace("a", 2, "three"))}},
	{"delete", []step{do("1", create("a", "one")), do("2", remove(replace("a", 2, ""))), do("3", remove(replace("a", 1, "")))}},
	{"delete whatever is there", []step{do("1", create("a", "one")), do("2", remove(overwrite("a", ""))), do("3", remove(overwrite("a", "")))}},
	{"create again after a delete", []step{do("1", overwrite("a", "one")), do("2", remove(overwrite("a", ""))), do("3", create("a", "two"))}},
	{"check of absence", []step{do("1", check(create("a", "")), create("b", "")), do("2", create("a", "")), do("3", check(create("a", "")), create("c", ""))}},
	{"check of a version", []step{do("1", create("a", "")), do("2", check(replace("a", 1, "")), create("b", "")), do("3", check(replace("a", 2, "")), create("c", ""))}},
	{"check of nothing", []step{do("1", check(overwrite("a", ""))), do("2", check(overwrite("a", "")), create("b", "one"))}},
	{"all or none", []step{do("1", create("b", "one")), do("2", create("a", "two"), create("b", "two"), create("q/c", "two"))}},
	{"first failed condition is named", []step{do("1", create("a", ""), create("b", "")), do("2", create("c", ""), create("b", ""), create("a", ""))}},
	{"several partitions", []step{do("1", create("a", "one"), create("q/a", "two"), overwrite("r/a", "three"))}},
	{"repeat with the token", []step{do("1", overwrite("a", "one")), do("1", overwrite("a", "one")), do("2", replace("a", 1, "two")), do("1", overwrite("a", "one"))}},
	{"repeat of a create", []step{do("1", create("a", "one")), do("1", create("a", "one"))}},
	{"token with other writes", []step{do("1", create("a", "one")), do("1", create("b", "one")), do("1", create("a", "two"))}},
	{"token of a failed transaction", []step{do("1", replace("a", 1, "one")), do("2", create("a", "two")), do("1", replace("a", 1, "one"))}},
	{"down", []step{under(down, "1", create("a", "one")), do("1", create("a", "one"))}},
	{"conflict", []step{under(clash, "1", create("a", "one")), do("1", create("a", "one"))}},
	{"answer lost after the effect", []step{under(lost, "1", create("a", "one")), do("2", create("a", "two"))}},
	{"answer lost, then repeated", []step{under(lost, "1", overwrite("a", "one")), under(lost, "1", overwrite("a", "one")), do("1", overwrite("a", "one"))}},
	{"answer lost of a failed condition", []step{do("1", create("a", "one")), under(lost, "2", create("a", "two"))}},
	{"write lost", []step{under(vanish, "1", create("a", "one"))}},
	{"write lost, then repeated", []step{under(vanish, "1", overwrite("a", "one")), do("1", overwrite("a", "one"))}},
	{"largest item", []step{do("1", many(1, basilplatform.MaxItemBytes-100)...)}},
	{"oversized item", []step{do("1", append(many(1, basilplatform.MaxItemBytes), create("a", ""))...)}},
	{"largest number of writes", []step{do("1", many(basilplatform.MaxTransactionWrites, 1)...)}},
	{"too many writes", []step{do("1", many(basilplatform.MaxTransactionWrites+1, 1)...)}},
	{"oversized transaction", []step{do("1", many(20, basilplatform.MaxItemBytes/2+1<<13)...)}},
	{"one item twice", []step{do("1", create("a", ""), check(create("a", "")))}},
	{"no writes", []step{do("1")}},
	{"no token", []step{do("", create("a", ""))}},
	{"long token", []step{do(strings.Repeat("t", basilplatform.MaxTokenBytes+1), create("a", ""))}},
	{"empty keys", []step{do("1", create("", "")), do("2", create("/a", ""))}},
	{"key that is no UTF-8", []step{do("1", create("a\xff", ""))}},
	{"unusual bytes", []step{do("1", create("a\"\\\x01é", "\x00\xff\"")), do("2", create("é", "é"))}},
}

// TestTableContract runs the same session against every implementation and
// compares each with the one golden file.
func TestTableContract(t *testing.T) {
	for _, kind := range tableKinds {
		t.Run(kind.name, func(t *testing.T) {
			var session strings.Builder
			for _, tt := range tableCases {
				fmt.Fprintf(&session, "# %s\n", tt.name)
				table, standin := kind.open(t)
				for _, s := range tt.steps {
					standin.SetFaults(s.faults)
					err := table.Transact(t.Context(), basilplatform.Transaction{Token: s.token, Writes: s.writes})
					fmt.Fprintf(&session, "transact %.9q, %d writes: %s\n", s.token, len(s.writes), outcomeOf(err))
				}
				standin.SetFaults(basilstandin.TableFaults{})
				for _, partition := range []string{"p", "q", "r"} {
					list(t, &session, table, partition)
				}
			}
			goldie.New(t).Assert(t, "table-contract", []byte(session.String()))
		})
	}
}

// list writes the items of a partition, read by a query and one by one.
func list(t *testing.T, session *strings.Builder, table basilplatform.Table, partition string) {
	items, err := table.Query(t.Context(), partition, "", 0)
	must.NoError(t, err)
	for n, i := range items {
		got, err := table.Get(t.Context(), i.Key)
		must.NoError(t, err)
		must.Eq(t, got.Key, i.Key)
		must.Eq(t, string(got.Body), string(i.Body))
		must.EqOp(t, got.Version, i.Version)
		must.EqOp(t, got.Token, i.Token)
		if n < 3 {
			fmt.Fprintf(session, "%s/%q version %d by %s: %.20q\n", partition, i.Key.Sort, i.Version, i.Token, i.Body)
		}
	}
	if len(items) > 3 {
		fmt.Fprintf(session, "%d items\n", len(items))
	}
}

func TestTableReads(t *testing.T) {
	tests := []struct {
		name, partition, after string
		limit                  int
		want                   string
	}{
		{"all", "p", "", 0, "many-000 … many-098 (99)"},
		{"limit", "p", "", 2, "many-000 … many-001 (2)"},
		{"after one that exists", "p", "many-004", 2, "many-005 … many-006 (2)"},
		{"after one that does not exist", "p", "many-004x", 1, "many-005 … many-005 (1)"},
		{"limit beyond the end", "p", "many-096", 50, "many-097 … many-098 (2)"},
		{"after the last", "p", "many-098", 1, "none"},
		{"partition that does not exist", "x", "", 0, "none"},
	}
	for _, kind := range tableKinds {
		t.Run(kind.name, func(t *testing.T) {
			table, standin := kind.open(t)
			writes := many(99, 40<<10) // several pages of the service
			must.NoError(t, standin.Transact(t.Context(), basilplatform.Transaction{Token: "1", Writes: append(writes, create("q/z", ""))}))
			for _, tt := range tests {
				items, err := table.Query(t.Context(), tt.partition, tt.after, tt.limit)
				must.NoError(t, err)
				got := "none"
				if len(items) > 0 {
					got = fmt.Sprintf("%s … %s (%d)", items[0].Key.Sort, items[len(items)-1].Key.Sort, len(items))
				}
				must.EqOp(t, tt.want, got, must.Sprint(tt.name))
			}
			_, err := table.Get(t.Context(), at("x/x"))
			must.EqOp(t, "does not exist", outcomeOf(err))
			standin.SetFaults(down)
			_, err = table.Get(t.Context(), at("many-000"))
			must.EqOp(t, "unavailable", outcomeOf(err))
			_, err = table.Query(t.Context(), "p", "", 0)
			must.EqOp(t, "unavailable", outcomeOf(err))
		})
	}
}

// The body that a table returns, or was given, belongs to the caller.
func TestTableKeepsItsOwnBodies(t *testing.T) {
	for _, kind := range tableKinds {
		t.Run(kind.name, func(t *testing.T) {
			table, _ := kind.open(t)
			w := create("a", "one")
			must.NoError(t, table.Transact(t.Context(), basilplatform.Transaction{Token: "1", Writes: []basilplatform.Write{w}}))
			w.Body[0] = 'X'
			for range 2 {
				i, err := table.Get(t.Context(), at("a"))
				must.NoError(t, err)
				must.EqOp(t, "one", string(i.Body))
				i.Body[0] = 'X'
			}
		})
	}
}

// The adapter and the stand-in behind it agree with the in-memory table on
// any transactions, in outcomes and in what is stored.
func TestTablePropertyAgreement(t *testing.T) {
	names := []string{"a", "b", "q/a"}
	writes := rapid.Custom(func(t *rapid.T) basilplatform.Write {
		return basilplatform.Write{
			Kind:         basilplatform.WriteKind(rapid.IntRange(0, 2).Draw(t, "kind")),
			Key:          at(rapid.SampledFrom(names).Draw(t, "key")),
			Precondition: basilplatform.Precondition(rapid.IntRange(0, 2).Draw(t, "precondition")),
			Version:      rapid.Int64Range(0, 3).Draw(t, "version"),
			Body:         rapid.SliceOfN(rapid.Byte(), 0, 4).Draw(t, "body"),
		}
	})
	adapter := tableKinds[len(tableKinds)-1]
	rapid.Check(t, func(r *rapid.T) {
		table, standin := adapter.open(t)
		model := new(basilstandin.Table)
		for range rapid.IntRange(1, 12).Draw(r, "transactions") {
			x := basilplatform.Transaction{
				Token:  rapid.SampledFrom([]string{"1", "2", "3", "4", "5", "6", "7", "8"}).Draw(r, "token"),
				Writes: rapid.SliceOfN(writes, 1, 3).Draw(r, "writes"),
			}
			f := rapid.SampledFrom([]basilstandin.TableFaults{{}, {}, {}, down, clash, lost, vanish}).Draw(r, "faults")
			standin.SetFaults(f)
			model.SetFaults(f)
			must.EqOp(r, outcomeOf(model.Transact(t.Context(), x)), outcomeOf(table.Transact(t.Context(), x)))
		}
		standin.SetFaults(basilstandin.TableFaults{})
		model.SetFaults(basilstandin.TableFaults{})
		for _, partition := range []string{"p", "q"} {
			want, err := model.Query(t.Context(), partition, "", 0)
			must.NoError(r, err)
			got, err := table.Query(t.Context(), partition, "", 0)
			must.NoError(r, err)
			must.EqOp(r, fmt.Sprint(want), fmt.Sprint(got))
		}
	})
}
