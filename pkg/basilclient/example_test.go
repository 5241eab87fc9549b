package basilclient_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"

	"basilstage.example/basilstage/pkg/basilapi"
	"basilstage.example/basilstage/pkg/basilclient"
)

// A caller asks for a receipt; asking again with the id can't run it twice.
func ExampleClient_Submit() {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/job-ids" {
			fmt.Fprint(w, `{"ids": ["fukuoka.01J00000000000000000000000.01J00000000000000000000001"]}`)
			return
		}
		fmt.Fprint(w, `{"id": "fukuoka.01J00000000000000000000000.01J00000000000000000000001", "outcome": "ran", "answer": "ZHV2ZXQgNw=="}`)
	}))
	defer s.Close()
	c := basilclient.NewClient(basilclient.Options{Addresses: []string{s.URL}})
	a, err := c.Submit(context.Background(), basilapi.SubmitRequest{Service: "receipt", Payload: []byte("duvet 7")})
	if p, ok := basilapi.AsProblem(err); ok {
		fmt.Println(p.Outcome, p.RetryAfter())
		return
	}
	fmt.Println(a.Outcome, string(a.Answer))
	// Output: ran duvet 7
}
