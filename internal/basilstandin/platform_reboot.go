package basilstandin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilplatform/basilfleet"
)

// Paths of the stand-ins alone.
const (
	PathFaults  = "/v1/faults"
	PathStatus  = "/v1/status"
	PathLeave   = "/v1/leave"
	PathRestart = "/v1/restart"
	PathStarts  = "/v1/starts"
)

// RestartRequest makes a backend server unready for a time and forget its work.
type RestartRequest struct {
	Millis    int64 `json:"ms"`
	HostEpoch int64 `json:"host_epoch"`
}

// BackendStatus is what a backend server says of itself.
type BackendStatus struct {
	ID         string `json:"id"`
	InProgress int    `json:"in_progress"`
	Leaving    bool   `json:"leaving"`
	Ready      bool   `json:"ready"`
}

func (p *Platform) serveDrained(w http.ResponseWriter, r *http.Request) {
	h, ok := p.host(r.PathValue("id"))
	if !ok {
		answerRefused(w, "no such host")
		return
	}
	drained, err := p.drained(r.Context(), h)
	if err != nil {
		answerUnavailable(w, err.Error())
		return
	}
	answerJSON(w, http.StatusOK, basilfleet.DrainedAnswer{Drained: drained})
}

// drained asks the host's backend server; a host without one is drained.
func (p *Platform) drained(ctx context.Context, h basilplatform.ListedHost) (bool, error) {
	if h.Address == "" {
		return true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, backendTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Address+PathStatus, nil)
	if err != nil {
		return false, err
	}
	answer, err := p.options.Client.Do(r)
	if err != nil {
		return false, err
	}
	defer answer.Body.Close()
	var s BackendStatus
	if err := json.NewDecoder(answer.Body).Decode(&s); err != nil {
		return false, err
	}
	return s.InProgress == 0, nil
}

func (p *Platform) serveReboot(w http.ResponseWriter, r *http.Request) {
	var request basilfleet.RebootRequest
	if !readJSON(w, r, &request) {
		return
	}
	h, ok := p.host(r.PathValue("id"))
	if !ok || p.Faults().Refuse {
		answerRefused(w, "no reboot of this host")
		return
	}
	if p.rebootOf(h.ID).epoch == request.Epoch {
		answerJSON(w, http.StatusOK, basilfleet.EmptyAnswer{})
		return
	}
	drained, err := p.drained(r.Context(), h)
	if err != nil {
		answerUnavailable(w, err.Error())
		return
	}
	if !drained || !p.startReboot(h.ID, request.Epoch) {
		answerRefused(w, "host holds work, or a later reboot was asked for")
		return
	}
	p.restart(r.Context(), h, request.Epoch)
	answerJSON(w, http.StatusOK, basilfleet.EmptyAnswer{})
}

func (p *Platform) rebootOf(host string) reboot {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.reboots[host]
}

// startReboot records the reboot and tells whether none of a later epoch was asked for.
func (p *Platform) startReboot(host string, epoch int64) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if epoch < p.reboots[host].epoch {
		return false
	}
	if epoch > p.reboots[host].epoch {
		p.reboots[host] = reboot{epoch: epoch, ends: time.Now().Add(p.options.RebootTime)}
	}
	return true
}

// restart tells the backend server, which may be gone already.
func (p *Platform) restart(ctx context.Context, h basilplatform.ListedHost, epoch int64) {
	text, err := json.Marshal(RestartRequest{Millis: p.options.RebootTime.Milliseconds(), HostEpoch: epoch})
	if err != nil || h.Address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), backendTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.Address+PathRestart, bytes.NewReader(text))
	if err != nil {
		return
	}
	if answer, err := p.options.Client.Do(r); err == nil {
		answer.Body.Close()
	}
}

func (p *Platform) serveRebooted(w http.ResponseWriter, r *http.Request) {
	epoch, err := strconv.ParseInt(r.URL.Query().Get(basilfleet.ParameterEpoch), 10, 64)
	if err != nil {
		answerRefused(w, err.Error())
		return
	}
	last := p.rebootOf(r.PathValue("id"))
	ended := last.epoch > epoch || last.epoch == epoch && !last.ends.IsZero() && !time.Now().Before(last.ends)
	answerJSON(w, http.StatusOK, basilfleet.RebootedAnswer{Rebooted: ended})
}
