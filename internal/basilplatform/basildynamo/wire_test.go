package basildynamo_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilplatform/basildynamo"
)

// recordRequests writes each request's target and body, keys sorted, to the session.
func recordRequests(session *bytes.Buffer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		var body any
		_ = json.Unmarshal(text, &body)
		sorted, _ := json.MarshalIndent(body, "", "  ")
		fmt.Fprintf(session, "%s %s %s\n%s\n", r.Method, r.URL.Path, r.Header.Get("X-Amz-Target"), sorted)
		_, _ = io.WriteString(w, "{}")
	}
}

// TestWireForm shows what goes out for each operation and condition, to be
// compared with the published API.
func TestWireForm(t *testing.T) {
	var session bytes.Buffer
	s := httptest.NewServer(recordRequests(&session))
	defer s.Close()
	table := basildynamo.New(basildynamo.Options{Endpoint: s.URL})
	_, err := table.Get(t.Context(), keyA)
	must.EqOp(t, "none", kind(err))
	_, err = table.Query(t.Context(), "p", "", 0)
	must.NoError(t, err)
	_, err = table.Query(t.Context(), "p", "a", 10)
	must.NoError(t, err)
	version := basilplatform.PreconditionVersion
	none := basilplatform.PreconditionNone
	key := func(n int) basilplatform.Key { return basilplatform.Key{Partition: "p", Sort: fmt.Sprint(n)} }
	must.NoError(t, table.Transact(t.Context(), basilplatform.Transaction{Token: "01TOKEN", Writes: []basilplatform.Write{
		{Key: key(1), Body: []byte("created")},
		{Key: key(2), Precondition: version, Version: 7, Body: []byte("replaced")},
		{Key: key(3), Precondition: none, Body: []byte("overwritten")},
		{Kind: basilplatform.WriteKindDelete, Key: key(4), Precondition: version, Version: 7},
		{Kind: basilplatform.WriteKindDelete, Key: key(5), Precondition: none},
		{Kind: basilplatform.WriteKindCheck, Key: key(6), Precondition: version, Version: 7},
		{Kind: basilplatform.WriteKindCheck, Key: key(7)},
	}}))
	goldie.New(t).Assert(t, "wire-form", session.Bytes())
}
