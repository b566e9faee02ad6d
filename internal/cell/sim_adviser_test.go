package cell

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericspread.org/turmericspread/internal/work"
)

// simAdviser processes the queries of each host one after the other.
type simAdviser struct {
	hosts           int
	maxPending      time.Duration   // processing time of a host's queries from which it takes no more
	busyUntil       []time.Duration // by host
	allowedFraction float64         // of the workers, for each step
	validity        time.Duration   // of a ticket
	queries         int
	named           int // workers in all queries
	withoutAllowed  int // queries without an allowed worker
	cost            time.Duration
}

// leastBusy returns the host that is free first.
func (a *simAdviser) leastBusy() (best int) {
	for len(a.busyUntil) < a.hosts {
		a.busyUntil = append(a.busyUntil, 0)
	}
	for i, until := range a.busyUntil {
		if until < a.busyUntil[best] {
			best = i
		}
	}
	return best
}

// free reports whether a host takes another query.
func (a *simAdviser) free(now time.Duration) bool {
	return a.busyUntil[a.leastBusy()] < now+a.maxPending
}

// allows reports whether the worker may run the step. This does not change.
func (a *simAdviser) allows(step, worker string) bool {
	return float64(xxhash.Sum64String(step+" "+worker)%1000) < 1000*a.allowedFraction
}

// sendAdvise answers a query when its host has processed the earlier ones.
func (o *simOwner) sendAdvise(request work.AdviceRequest, cost time.Duration, done func(work.AdviceResponse, error)) {
	s, a := o.sim, &o.sim.adviser
	response := work.AdviceResponse{Valid: a.validity}
	for _, id := range request.Workers {
		if a.allows(request.Step, id) {
			response.Good = append(response.Good, work.Ticket{Worker: id, Ticket: "ticket"})
		}
	}
	a.queries, a.named, a.cost = a.queries+1, a.named+len(request.Workers), a.cost+cost
	if len(response.Good) == 0 {
		a.withoutAllowed++
	}
	host := a.leastBusy()
	a.busyUntil[host] = max(a.busyUntil[host], s.now) + cost
	s.after(a.busyUntil[host]-s.now+simLatency, func() { o.call(func() { done(response, nil) }) })
}
