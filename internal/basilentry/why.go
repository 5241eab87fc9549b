package basilentry

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilpool"
	"basilstage.example/basilstage/internal/basilview"
	"basilstage.example/basilstage/internal/basilwave"
	"basilstage.example/basilstage/pkg/basilapi"
)

// reasons collects the lines of an explanation.
type reasons struct{ rows [][]string }

func (r *reasons) add(format string, a ...any) {
	r.rows = append(r.rows, []string{fmt.Sprintf(format, a...)})
}

func (r *reasons) answer() (basilapi.QueryAnswer, error) {
	return basilapi.QueryAnswer{Columns: []string{"why"}, Rows: r.rows}, nil
}

// waitsFor tells what a host that is out waits for, or "".
func waitsFor(v *basilview.View, h basilmodel.Host) string {
	switch h.State() {
	case basilmodel.HostStateLeaving:
		if late := lateMembers(v, h); len(late) > 0 {
			return fmt.Sprintf("entry %d to be applied by %s", h.Sequence(), strings.Join(late, ", "))
		}
		return "the work in hand to end"
	case basilmodel.HostStateDrained:
		if h.Target() == "" && h.Wave() == "" {
			return "an operator (maintain or return), or a wave that selects it"
		}
		return "the next pass"
	case basilmodel.HostStateMaintenance:
		return "the platform to reboot it"
	case basilmodel.HostStateFailed:
		return "the platform to list it again, or an operator (return or remove)"
	}
	return ""
}

// lateMembers returns the entry hosts of the host's data centre that have not applied its last change.
func lateMembers(v *basilview.View, h basilmodel.Host) []string {
	var late []string
	for _, m := range v.Members() {
		if m.DataCentre() == h.DataCentre() && m.Applied() < h.Sequence() {
			late = append(late, m.ID())
		}
	}
	return late
}

// whyHost tells who put the host where it is and what holds it there.
func (e *Entry) whyHost(ctx context.Context, name string) (basilapi.QueryAnswer, error) {
	v := e.control.View()
	h, ok := v.Host(name)
	if !ok {
		return basilapi.QueryAnswer{}, errors.WithStack(basilpool.ErrHostNotExist{ID: name})
	}
	r := &reasons{}
	r.add("%s is %s in pool %s, epoch %d", h.ID(), h.State(), h.Pool(), h.Epoch())
	r.add("last change: %s by %s at %s, audit entry %d", h.Action(), h.Operator(), stamp(h.Since()), h.Sequence())
	if why := e.reasonFor(ctx, h.Sequence()); why != "" {
		r.add("reason given: %s", why)
	}
	if h.Target() != "" {
		r.add("it moves to pool %s", h.Target())
	}
	if h.Wave() != "" {
		r.add("wave %s holds it", h.Wave())
	}
	if h.Cause() != basilmodel.OutCauseNone {
		r.add("it counts against the budgets of pool %s as %s", h.Pool(), h.Cause())
	}
	if v.Leaving(h) {
		r.add("it was seen leaving: no new work is sent to it")
	}
	if w := waitsFor(v, h); w != "" {
		r.add("waits for: %s", w)
	}
	return r.answer()
}

// reasonFor returns the reason of an audit entry, or "" when there is none or it can't be read now.
func (e *Entry) reasonFor(ctx context.Context, sequence int64) string {
	entries, err := e.trail.Before(ctx, sequence+1, 1)
	if err != nil || len(entries) == 0 {
		return ""
	}
	return entries[0].Record().Reason
}

// progress tells how far the wave has come by what this entry host knows of the hosts.
func (e *Entry) progress(waves []basilmodel.Wave, w basilmodel.Wave) basilwave.Progress {
	v := e.control.View()
	s := basilwave.State{Hosts: v.Hosts(), Configuration: v.Configuration(), Waves: waves}
	return basilwave.Planner{}.Progress(s, w, time.Now())
}

// whyWave tells what the wave waits for.
func (e *Entry) whyWave(ctx context.Context, name string) (basilapi.QueryAnswer, error) {
	w, err := e.waves.Wave(ctx, name)
	if err != nil {
		return basilapi.QueryAnswer{}, err
	}
	waves, err := e.waves.List(ctx)
	if err != nil {
		return basilapi.QueryAnswer{}, err
	}
	g := e.progress(waves, w)
	r := &reasons{}
	r.add("wave %s is %s: %d done, %d busy, %d pending, %d failed", name, w.State(), g.Done, g.Busy, g.Pending, g.Failed)
	if w.Reason() != "" {
		r.add("reason given: %s", w.Reason())
	}
	v := e.control.View()
	for _, h := range g.Out {
		r.add("%s, rack %s of %s, is %s since %s and waits for: %s", h.ID(), h.Rack(), h.DataCentre(), h.State(), stamp(h.Since()), waitsFor(v, h))
	}
	if w.State() == basilmodel.WaveStateDone || w.State() == basilmodel.WaveStateAborted {
		return r.answer()
	}
	for _, x := range g.Waits {
		r.add("pool %s, %d hosts: %s", x.Pool, x.Hosts, x.Reason)
	}
	return r.answer()
}

// whyMember tells how far an entry host is behind, and who waits for it.
func (e *Entry) whyMember(ctx context.Context, name string) (basilapi.QueryAnswer, error) {
	v := e.control.View()
	var m basilview.Member
	for _, x := range v.Members() {
		if x.ID() == name {
			m = x
		}
	}
	if m.ID() == "" {
		return basilapi.QueryAnswer{}, errors.WithStack(basilview.ErrMemberNotExist{ID: name})
	}
	r := &reasons{}
	state := "is heard of"
	if v.Gone(m.Incarnation()) {
		state = "is silent, replaced or has left; if the platform has taken it away, forget it"
	}
	r.add("member %s of %s %s", name, m.DataCentre(), state)
	r.add("it has applied audit entry %d and revision %d; this entry host, %s, knows entry %d and revision %d",
		m.Applied(), m.Record().Revision, e.settings.Member(), v.Sequence(), v.Configuration().Revision())
	if head, err := e.trail.Head(ctx); err == nil {
		r.add("the trail ends with entry %d", head)
	} else {
		r.add("the trail can't be read: %s", problemOf(err).Message)
	}
	if name == e.settings.Member() {
		r.add("this entry host's standing is %s", v.Standing())
	}
	for _, s := range e.mesh.Status() {
		if s.Peer.ID == name && !s.Connected {
			r.add("this entry host has no link to it")
		}
	}
	for _, h := range v.Hosts() {
		if h.State() == basilmodel.HostStateLeaving && h.DataCentre() == m.DataCentre() && m.Applied() < h.Sequence() {
			r.add("host %s waits for it to apply entry %d", h.ID(), h.Sequence())
		}
	}
	return r.answer()
}
