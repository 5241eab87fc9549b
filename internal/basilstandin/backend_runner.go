package basilstandin

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"basilstage.example/basilstage/internal/basiltimer"
	"basilstage.example/basilstage/pkg/basilapi"
)

func (b *Backend) serveRun(w http.ResponseWriter, r *http.Request) {
	payload, err := io.ReadAll(http.MaxBytesReader(w, r.Body, basilapi.MaxPayloadBytes))
	if err != nil {
		answerNotStarted(w, "payload is unreadable")
		return
	}
	attempt, err := strconv.Atoi(r.Header.Get(basilapi.HeaderAttempt))
	job := r.Header.Get(basilapi.HeaderJob)
	if err != nil || job == "" {
		answerNotStarted(w, "no job or attempt")
		return
	}
	faults, reason := b.startRun(job, attempt)
	if reason != "" {
		answerNotStarted(w, reason)
		return
	}
	w.Header().Set(basilapi.HeaderJob, job)
	w.Header().Set(basilapi.HeaderAttempt, strconv.Itoa(attempt))
	b.run(r.Context(), payload, faults)
	answerRun(w, b.options.Answer(r.Header.Get(basilapi.HeaderService), payload), faults)
}

func answerNotStarted(w http.ResponseWriter, reason string) {
	w.Header().Set(basilapi.HeaderNotStarted, reason)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// startRun takes a slot and returns the faults that the run meets, or why it was not started.
func (b *Backend) startRun(job string, attempt int) (BackendFaults, string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	reason := b.whyNot()
	if reason == "" && b.running >= b.options.Slots {
		reason = "no free slot"
	}
	if reason != "" {
		return BackendFaults{}, reason
	}
	b.running++
	b.count(job, attempt)
	return b.faults, ""
}

// run takes the run time, whether or not the caller is still there, and frees the slot.
func (b *Backend) run(ctx context.Context, payload []byte, f BackendFaults) {
	defer b.endRun()
	switch {
	case f.FailAll:
	case f.Hang:
		<-ctx.Done()
	default:
		b.mutex.Lock()
		d := b.slowed(b.options.RunTime(payload))
		b.mutex.Unlock()
		_ = basiltimer.Wait(context.WithoutCancel(ctx), d)
	}
}

func (b *Backend) endRun() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.running--
}

func answerRun(w http.ResponseWriter, answer []byte, f BackendFaults) {
	switch {
	case f.Hang, f.LoseAnswer:
		panic(http.ErrAbortHandler)
	case f.FailAll:
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(http.StatusOK)
	if f.DieMidAnswer {
		_, _ = w.Write(answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer)
}
