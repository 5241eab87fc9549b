package main

import (
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	callTime   = 3 * time.Second
	callerHost = "shop.example"
)

// call makes a request of a caller at an entry host and returns the answer; status 0 stands for none.
func (f *fleet) call(h *entryHost, method, path, body string) (status int, answer string) {
	r, err := http.NewRequest(method, "http://"+h.ip+":8624"+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = callerHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", "3000")
	response, err := f.client.Do(r)
	if err != nil {
		f.record.add("%s %s at entry-%d: no answer: %v", method, path, h.number, err)
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body) // a broken answer is judged as it is
	f.record.add("%s %s at entry-%d -> %d %s", method, path, h.number, response.StatusCode, text)
	return response.StatusCode, string(text)
}

// submit hands a job in, and tells the stand-ins of it before.
func (f *fleet) submit(path, id, body string, attempts int) (accepted bool) {
	f.site.Submitted(id, body, attempts)
	status, _ := f.call(f.hosts[0], http.MethodPost, path+id, body)
	return status/100 == 2
}

// state asks for the state of a job.
func (f *fleet) state(path, id string) (status int, state string) {
	status, answer := f.call(f.hosts[1], http.MethodGet, path+id, "")
	for _, s := range []string{"pending", "active", "completed", "failed", "canceled"} {
		if strings.Contains(answer, `"`+s+`"`) {
			return status, s
		}
	}
	return status, ""
}
