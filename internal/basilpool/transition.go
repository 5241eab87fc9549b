package basilpool

import (
	"cmp"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilmodel"
)

// transition returns the host after the order, without updating its epoch and author.
//
// It fails with ErrHostConflict if the host's state doesn't allow the action, and with errHostUnchanged if nothing changes.
func transition(h basilmodel.Host, o Order, sequence int64) (basilmodel.HostRecord, error) {
	r := h.Record()
	switch o.Action {
	case ActionMove:
		if h.State() != basilmodel.HostStateActive {
			return r, conflict(h)
		}
		if o.Target == h.Pool() {
			return r, errors.WithStack(ErrPoolSame{Host: h.ID(), Pool: o.Target})
		}
		return startLeaving(r, o.Target, "", basilmodel.OutCauseMove), nil
	case ActionDrain:
		if h.State() != basilmodel.HostStateActive {
			return r, conflict(h)
		}
		return startLeaving(r, "", o.Wave, basilmodel.OutCauseWave), nil
	case ActionDrained:
		return changeState(h, basilmodel.HostStateLeaving, basilmodel.HostStateDrained)
	case ActionMaintain:
		return maintain(h, o, sequence)
	case ActionFinish:
		return finish(h)
	case ActionReturn:
		return returnToService(h)
	case ActionFail:
		return fail(h)
	case ActionRemove:
		if h.State() != basilmodel.HostStateFailed {
			return r, conflict(h)
		}
		return basilmodel.HostRecord{}, nil
	}
	return r, conflict(h)
}

func conflict(h basilmodel.Host) error {
	return errors.WithStack(ErrHostConflict{
		Host: h.ID(), State: h.State(), Operator: h.Operator(), Action: h.Action(), Sequence: h.Sequence(),
	})
}

func startLeaving(r basilmodel.HostRecord, target, wave string, c basilmodel.OutCause) basilmodel.HostRecord {
	r.State = basilmodel.HostStateLeaving
	r.Target = target
	r.Wave = wave
	r.Cause = c
	return r
}

func changeState(h basilmodel.Host, from, to basilmodel.HostState) (basilmodel.HostRecord, error) {
	r := h.Record()
	if r.State != from {
		return r, conflict(h)
	}
	r.State = to
	return r, nil
}

// maintain hands the host over to the platform unless it is moving; a wave may adopt a host that belongs to no wave.
func maintain(h basilmodel.Host, o Order, sequence int64) (basilmodel.HostRecord, error) {
	if h.Target() != "" {
		return h.Record(), conflict(h)
	}
	r, err := changeState(h, basilmodel.HostStateDrained, basilmodel.HostStateMaintenance)
	r.Maintained = sequence
	r.Wave = cmp.Or(r.Wave, o.Wave)
	return r, err
}

// finish completes a move in the target pool, or maintenance in the host's own pool.
func finish(h basilmodel.Host) (basilmodel.HostRecord, error) {
	r := h.Record()
	switch {
	case r.State == basilmodel.HostStateDrained && r.Target != "":
		r.Pool = r.Target
	case r.State == basilmodel.HostStateMaintenance:
		if r.Wave != "" {
			r.Serviced = r.Wave
		}
	default:
		return r, conflict(h)
	}
	return asActive(r), nil
}

// returnToService cancels an unfinished move or drain, or puts a failed host back into service.
func returnToService(h basilmodel.Host) (basilmodel.HostRecord, error) {
	r := h.Record()
	switch r.State {
	case basilmodel.HostStateLeaving, basilmodel.HostStateDrained, basilmodel.HostStateFailed:
		return asActive(r), nil
	}
	return r, conflict(h)
}

// fail marks the host as failed. It keeps the wave, so that the wave can tell which of its hosts failed.
func fail(h basilmodel.Host) (basilmodel.HostRecord, error) {
	r := h.Record()
	if r.State == basilmodel.HostStateFailed {
		return r, errHostUnchanged{host: h}
	}
	if r.State == basilmodel.HostStateMaintenance {
		r.Maintained = 0
	}
	r.State = basilmodel.HostStateFailed
	r.Target = ""
	r.Cause = basilmodel.OutCauseFailure
	return r, nil
}

func asActive(r basilmodel.HostRecord) basilmodel.HostRecord {
	r.State = basilmodel.HostStateActive
	r.Target = ""
	r.Wave = ""
	r.Cause = basilmodel.OutCauseNone
	return r
}
