package basilentry

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilpool"
	"basilstage.example/basilstage/pkg/basilapi"
)

// reasons collects the lines of an explanation.
type reasons struct{ rows [][]string }

func (r *reasons) add(format string, a ...any) {
	r.rows = append(r.rows, []string{fmt.Sprintf(format, a...)})
}

func (r *reasons) answer() basilapi.QueryAnswer {
	return basilapi.QueryAnswer{Columns: []string{"why"}, Rows: r.rows}
}

// whyHost tells who put the host where it is and what holds it there.
func (e *Entry) whyHost(_ context.Context, name string) (basilapi.QueryAnswer, error) {
	v := e.control.View()
	h, ok := v.Host(name)
	if !ok {
		return basilapi.QueryAnswer{}, errors.WithStack(basilpool.ErrHostNotExist{ID: name})
	}
	r := &reasons{}
	r.add("%s is %s in pool %s, epoch %d", h.ID(), h.State(), h.Pool(), h.Epoch())
	r.add("last change: %s by %s, audit entry %d", h.Action(), h.Operator(), h.Sequence())
	if h.Target() != "" {
		r.add("it moves to pool %s", h.Target())
	}
	if h.Wave() != "" {
		r.add("wave %s holds it", h.Wave())
	}
	if v.Leaving(h) {
		r.add("it was seen leaving: no new work is sent to it")
	}
	if h.State() == basilmodel.HostStateLeaving {
		for _, m := range v.Members() {
			if m.DataCentre() == h.DataCentre() && m.Applied() < h.Sequence() {
				r.add("waits for entry host %s, which has applied %d of %d", m.ID(), m.Applied(), h.Sequence())
			}
		}
	}
	return r.answer(), nil
}
