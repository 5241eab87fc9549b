package basilentry

import (
	"expvar"
	"net/http"
	"time"

	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/pkg/basilapi"
)

// metrics are the entry host's figures, published by expvar under the member's id.
type metrics struct {
	outcomes expvar.Map // answers by outcome
	refusals expvar.Map // problems by code
	all      expvar.Map
}

func newMetrics(e *Entry) *metrics {
	m := &metrics{}
	m.all.Set("outcomes", &m.outcomes)
	m.all.Set("problems", &m.refusals)
	m.all.Set("standing", expvar.Func(func() any { return e.control.View().Standing().String() }))
	m.all.Set("sequence", expvar.Func(func() any { return e.control.View().Sequence() }))
	m.all.Set("revision", expvar.Func(func() any { return e.control.View().Configuration().Revision() }))
	m.all.Set("store_age_ms", expvar.Func(func() any { return e.control.View().StoreAge(time.Now()).Milliseconds() }))
	m.all.Set("jobs_in_progress", expvar.Func(func() any { return e.registry.InFlight() }))
	m.all.Set("queues", expvar.Func(func() any { return e.queues.Status() }))
	m.all.Set("hosts", expvar.Func(func() any { return hostStates(e.control.View()) }))
	m.all.Set("budgets", expvar.Func(func() any { return budgetsLeft(e.control.View()) }))
	m.all.Set("table", expvar.Func(func() any { return tableFigures(e.ports.Table) }))
	m.all.Set("peers", expvar.Func(func() any { return e.mesh.Status() }))
	name := "basilstage." + e.settings.Member()
	if expvar.Get(name) == nil {
		expvar.Publish(name, &m.all)
	}
	return m
}

func (m *metrics) answered(a basilapi.JobAnswer, err error) {
	if err == nil {
		m.outcomes.Add(a.Outcome.String(), 1)
		return
	}
	p := problemOf(err)
	m.outcomes.Add(p.Outcome.String(), 1)
	m.refusals.Add(p.Code.String(), 1)
}

// setLogLevel switches the level of the logs while the process runs.
func (e *Entry) setLogLevel(w http.ResponseWriter, r *http.Request) {
	if err := basillog.SetLevel(e.log, r.URL.Query().Get("level")); err != nil {
		writeError(w, refuse(basilapi.CodeMalformed, err.Error(), "one of debug, info, warn, error", 0))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
