package basilscheduler

import (
	"fmt"
	"math"
	"time"
)

// explainTask finds the reason why an idle task waits.
func (e *explainer) explainTask(x *Wait, t *task) {
	s := t.step
	x.Ends, x.Detail = 0, ""
	switch {
	case !s.ready():
		x.Reason = WaitReasonStepNotReady
		e.describeBlocker(x, s)
	case e.now.Before(s.occurrence.due):
		x.Reason, x.Ends = WaitReasonNotDue, s.occurrence.due.Sub(e.now)
	case e.inconsistency(x, s) != "":
		x.Reason, x.Detail = WaitReasonInconsistent, e.inconsistency(x, s)
	case e.startLimit == 0:
		x.Reason = WaitReasonStartLimit
	case e.holdsBack(t, e.now):
		x.Reason, x.Pending, x.Ends = WaitReasonPredecessors, len(e.predecessorUntil), max(0, e.heldBackUntil(t).Sub(e.now))
		for _, until := range e.predecessorUntil {
			x.Ends = max(x.Ends, until.Sub(e.now))
		}
	case e.now.Before(t.notBefore):
		x.Reason, x.Ends = WaitReasonPause, t.notBefore.Sub(e.now)
	case s.spec.Gang && e.busyMembers(s) > 0:
		x.Reason, x.Pending = WaitReasonGangMember, e.busyMembers(s)
	default:
		e.explainPlacement(x, t)
	}
}

// inconsistency describes how the state of a ready step contradicts that of its tasks, or returns an empty string.
func (e *explainer) inconsistency(x *Wait, s *step) string {
	c := countIdle(s)
	whole := len(s.tasks) <= maxScannedTasks
	switch {
	case whole && c.idle != s.idle:
		return fmt.Sprintf("%d idle tasks counted as %d", c.idle, s.idle)
	case c.idle > 0 && c.first < s.firstIdle:
		return fmt.Sprintf("first idle task is %d, counted as %d", c.first, s.firstIdle)
	case s.queued && x.Position == 0, !s.queued && !s.pending:
		return "not in the list of waiting steps"
	}
	return ""
}

// busyMembers returns the number of members of a gang that cannot start now.
func (e *explainer) busyMembers(s *step) int {
	count := 0
	for _, t := range s.tasks {
		if !t.idle() || e.now.Before(t.notBefore) {
			count++
		}
	}
	return count
}

// describeBlocker names the task of an earlier step that is not at work or, if all are, one that runs.
func (e *explainer) describeBlocker(x *Wait, s *step) {
	for range maxBlockerDepth {
		if s.ready() {
			break
		}
		for _, a := range s.spec.After {
			if s.occurrence.steps[a].unfinished > 0 {
				s = s.occurrence.steps[a]
				break
			}
		}
	}
	var blocker *task
	for _, t := range s.scanned() {
		if t.done {
			continue
		}
		if blocker == nil || e.atWork(blocker) && (!e.atWork(t) || t.attempt > blocker.attempt) {
			blocker = t
		}
	}
	if blocker == nil {
		return
	}
	x.Blocker = blocker.id
	if len(blocker.runs) > 0 {
		e.describeRun(x, blocker.runs[len(blocker.runs)-1])
		return
	}
	var b Wait
	if s.queued {
		b.Position = e.positionOf(s)
	}
	e.explainTask(&b, blocker)
	x.BlockerReason, x.Backends, x.Pending, x.Ends, x.Detail = b.Reason, b.Backends, b.Pending, b.Ends, b.Detail
}

// positionOf returns the position of the step in the order of placement, starting at 1, or 0.
func (e *explainer) positionOf(s *step) int {
	for n := range e.waiting.list {
		if e.waiting.list[n].step == s {
			return n + 1
		}
	}
	return 0
}

// describeRun sets the run that exists for the owner, and its state as the reason of the task that it belongs to.
func (e *explainer) describeRun(x *Wait, r *run) {
	since, reason := e.stateOf(r)
	x.Run, x.RunAge, x.Detail = r.ref(), e.now.Sub(since), r.stopReason
	if x.Reason == WaitReasonStepNotReady {
		x.BlockerReason = reason
		return
	}
	x.Reason = reason
}

// explainPlacement finds the reason why a task that may start is not placed.
func (e *explainer) explainPlacement(x *Wait, t *task) {
	s := t.step
	var tickets *stepTickets
	if s.needsTickets() {
		tickets = e.tickets[s.name()]
		x.Detail = tickets.describe(e.now)
		if tickets == nil || len(tickets.answers) == 0 {
			x.Reason = WaitReasonNoTickets
			return
		}
	}
	var counts [waitReasons]int
	present := 0
	for _, b := range e.list {
		if b.present {
			present++
			counts[e.obstacle(t, b, tickets)]++
		}
	}
	x.Backends = make(map[string]int)
	for r, count := range counts {
		if count > 0 && WaitReason(r) != WaitReasonNone {
			x.Backends[WaitReason(r).String()] = count
		}
	}
	switch {
	case present == 0:
		x.Reason = WaitReasonNoBackends
	case counts[WaitReasonNone] > 0 && s.spec.Gang:
		x.Reason = WaitReasonGangRoom
	case counts[WaitReasonNone] > 0:
		x.Reason = WaitReasonPassedOver
		x.Backends["usable"] = counts[WaitReasonNone]
		if e.startLimit < math.MaxInt {
			x.Detail = fmt.Sprintf("%d starts allowed", e.startLimit)
		}
	default:
		x.Reason = mainObstacle(&counts)
	}
}

// obstacle returns what keeps the task off a backend server, or WaitReasonNone. Only servers that stay and have room get the reasons after
// WaitReasonNoRoom.
func (e *explainer) obstacle(t *task, b *backend, tickets *stepTickets) WaitReason {
	s := t.step
	switch {
	case !b.hasLabel(s.spec.Label):
		return WaitReasonNoLabel
	case !b.Resources.Covers(s.demand):
		return WaitReasonTooLarge
	case b.Draining:
		return WaitReasonDraining
	case b.evacuating:
		return WaitReasonEvacuating
	case !b.free().Covers(s.demand):
		return WaitReasonNoRoom
	case !b.reachable: // silent ones are no longer recorded as in use
		return WaitReasonNotReachable
	case !b.recorded:
		return WaitReasonNotRecorded
	case !b.attached:
		return WaitReasonNotAttached
	case e.now.Before(b.blockedUntil):
		return WaitReasonBlocked
	case b.quarantined():
		return WaitReasonQuarantined
	case len(b.orphans) > 0:
		return WaitReasonOrphans
	case !tickets.allow(b, e.now):
		return WaitReasonTicket
	case e.avoids(t, b, e.now):
		return WaitReasonAvoided
	case !s.antiAffinityAllows(b):
		return WaitReasonAntiAffinity
	case e.mayUse(t, b, e.now):
		return WaitReasonNone
	case b.isSuspended:
		return WaitReasonBlocked
	case b.reserved:
		return WaitReasonReserved
	}
	return WaitReasonSlow
}

// mainObstacle returns the most frequent obstacle: of the backend servers that stay and have room or, if there are none, of those that could
// have it.
func mainObstacle(counts *[waitReasons]int) WaitReason {
	for _, from := range []WaitReason{WaitReasonNoRoom + 1, WaitReasonDraining, WaitReasonTooLarge} {
		best := WaitReasonNone
		for r := from; r < waitReasons; r++ {
			if counts[r] > counts[best] {
				best = r
			}
		}
		if best != WaitReasonNone {
			return best
		}
	}
	return WaitReasonNoLabel
}

// describe tells how many answers and valid tickets there are, and the age of the newest request.
func (t *stepTickets) describe(now time.Time) string {
	if t == nil || t.askedAt.IsZero() {
		return "not requested"
	}
	valid := 0
	for _, a := range t.answers {
		if a.ticket != "" && now.Before(a.until) {
			valid++
		}
	}
	return fmt.Sprintf("requested %d ms ago, answers for %d backend servers, %d valid tickets", now.Sub(t.askedAt).Milliseconds(), len(t.answers), valid)
}
