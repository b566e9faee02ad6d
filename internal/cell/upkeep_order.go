package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/work"
)

const (
	// upkeepConfirmation is the maximum age of the store's confirmation of the ownership with
	// which upkeep is ordered. The platform may not check fencing tokens.
	upkeepConfirmation = time.Second
	// UpkeepTimeout bounds a call for the upkeep of a machine.
	UpkeepTimeout = 800 * time.Millisecond
	// upkeepLease is how long after a call by one owner no other may make one for the same
	// machine.
	upkeepLease = 3 * time.Second
	// upkeepHandover is how long a new owner makes no calls for machines for which a former one
	// may have. The former one calls for upkeepConfirmation after the claim at the latest.
	upkeepHandover = upkeepLease + upkeepConfirmation + UpkeepTimeout
	// upkeepRetry is the interval between two calls for one machine.
	upkeepRetry = 500 * time.Millisecond
	// busyRetry is how long the upkeep of a machine is not ordered after it was busy.
	busyRetry = time.Second
	// upkeepRateFraction is the fraction of the platform's limit that orders use. Other hosts
	// and other kinds of calls may use the rest.
	upkeepRateFraction = 0.5
)

// mayCall reports whether calls for a machine would not alternate with those of a former owner.
func (o *Owner) mayCall(name string, now time.Duration) bool {
	return !o.upkeep.foreign[name] || now >= o.startedAt+upkeepHandover
}

// sendUpkeeps makes the calls for the machines whose order is in the store, and repeats those that
// were not answered. What is to end is checked for each call, because steps may have lost other
// tasks since the decision.
func (o *Owner) sendUpkeeps(nodes map[string][]*node, now time.Duration) {
	rate := o.Bounds.UpkeepRate * upkeepRateFraction
	o.upkeep.callsLeft += rate * (now - o.upkeep.callsLeftAt).Seconds()
	o.upkeep.callsLeft, o.upkeep.callsLeftAt = min(o.upkeep.callsLeft, max(rate*upkeepInterval.Seconds(), 1)), now
	for _, waveName := range slices.Sorted(maps.Keys(o.waves)) {
		w := o.waves[waveName]
		for _, name := range slices.Sorted(maps.Keys(w.records)) {
			rec := w.records[name]
			if rec.phase != upkeepIsOrdered || rec.inFlight || rec.version > o.upkeep.savedVersion || now < rec.nextCall || !o.mayCall(name, now) {
				continue
			}
			if !o.mayEnd(nodes[name]) {
				if !rec.uncertain {
					o.withdraw(w, name, now)
				}
				continue
			}
			if o.upkeep.callsLeft < 1 {
				return
			}
			o.upkeep.callsLeft--
			o.sendUpkeep(w, name, rec, now)
		}
	}
}

// mayEnd reports whether everything on the workers of one machine may end at once. Their tasks
// count as away already.
func (o *Owner) mayEnd(nodes []*node) bool {
	for _, n := range nodes {
		for _, r := range n.runs {
			s := r.task.step
			if !s.spec.LongRunning || r.state != runLive || !r.serving || r.stopping || !n.responded || n.missedRenewals > 0 {
				continue
			}
			away, _ := s.away()
			if s.spec.Gang {
				away = len(s.tasks) - s.tasksDone
			}
			if away > max(s.spec.MaxUnavailable, 1) {
				return false
			}
		}
	}
	return true
}

// withdraw removes an order that was not executed.
func (o *Owner) withdraw(w *wave, name string, now time.Duration) {
	delete(w.records, name)
	w.called[name] = true
	if o.upkeep.retryAt == nil {
		o.upkeep.retryAt = map[string]time.Duration{}
	}
	o.upkeep.retryAt[name] = now + busyRetry
	o.upkeep.version++
}

// sendUpkeep makes one call.
func (o *Owner) sendUpkeep(w *wave, name string, rec *upkeepRecord, now time.Duration) {
	rec.inFlight = true
	rec.nextCall = now + upkeepRetry
	if rec.epoch != o.Epoch {
		rec.epoch = o.Epoch
		o.upkeep.version++
	}
	o.Counters.UpkeepCalls++
	request := work.UpkeepRequest{Machine: name, Wave: w.request.Number, Fence: o.Epoch * fencesPerEpoch}
	o.OrderUpkeep(request, func(err error) {
		rec.inFlight = false
		if o.waves[w.request.Name] == w && w.records[name] == rec && rec.phase == upkeepIsOrdered {
			o.handleUpkeepResponse(w, name, rec, err)
			o.markMachines()
			o.upkeep.next = 0
		}
	})
}

// handleUpkeepResponse processes the response to a call, or its absence.
func (o *Owner) handleUpkeepResponse(w *wave, name string, rec *upkeepRecord, err error) {
	now := o.Now()
	if err == nil {
		rec.phase, rec.begunAt = upkeepHasBegun, now
		o.upkeep.version++
		o.Counters.UpkeepsBegun++
		event.UpkeepBegun.Log(o.Log).Str("wave", w.request.Name).Str("machine", name).Str("worker", rec.worker).Send()
		return
	}
	rec.nextCall = now + upkeepRetry
	refused := true
	switch {
	case errs.Is(err, work.ErrOtherWave):
		rec.phase = upkeepExcluded
		o.upkeep.version++
	case errs.Is(err, work.ErrMachineBusy) || errs.Is(err, work.ErrMachineUnknown) || errs.Is(err, work.ErrFenced):
		// Whether an unknown machine is gone is decided by the list of machines.
		rec.nextCall = now + busyRetry
		if !rec.uncertain {
			o.withdraw(w, name, now)
		}
	case errs.Is(err, work.ErrTooManyCalls) || errs.Is(err, work.ErrNotSent):
	default:
		refused = false
		rec.uncertain = true
	}
	if refused {
		o.Counters.UpkeepRefused++
	} else {
		o.Counters.UpkeepUnknown++
	}
	event.UpkeepNotBegun.Log(o.Log).Str("wave", w.request.Name).Str("machine", name).Bool("refused", refused).Err(err).Send()
}
