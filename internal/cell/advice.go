package cell

import (
	"cmp"
	"math"
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/sched"
	"turmericspread.org/turmericspread/internal/work"
)

// advice holds the placement advice for a step: which workers may run it. That does
// not change, but the tickets that prove it expire.
type advice struct {
	allowed         map[string]bool // by worker: whether it may run the step
	tickets         map[string]ticket
	ticketedWorkers []string      // workers that were ever given a ticket, sorted
	ticketsUntil    time.Duration // when the last ticket expires
	queryInFlight   bool
	failed          bool // the last query failed
	retryAt         time.Duration
}

type ticket struct {
	value       string
	incarnation int64
	validUntil  time.Duration
}

// minTicketValidity is the minimum remaining validity with which a ticket is used,
// because saving the record and sending the start take time.
const minTicketValidity = 200 * time.Millisecond

// hasTicket reports whether there is a ticket for the worker's current incarnation.
func (a *advice) hasTicket(n *node, now time.Duration) bool {
	t, ok := a.tickets[n.worker.ID]
	return ok && now+minTicketValidity < t.validUntil && t.incarnation == n.incarnation
}

func (a *advice) ticket(n *node) string { return a.tickets[n.worker.ID].value }

// drop removes a ticket that a worker has rejected.
func (a *advice) drop(worker string) { delete(a.tickets, worker) }

// forgetAdvice drops all advice about a worker whose incarnation has ended: the next one may be
// of another kind.
func (o *Owner) forgetAdvice(worker string) {
	for _, j := range o.active {
		for _, s := range j.steps {
			a := &s.advice
			a.drop(worker)
			delete(a.allowed, worker)
			if at, ok := slices.BinarySearch(a.ticketedWorkers, worker); ok {
				a.ticketedWorkers = slices.Delete(a.ticketedWorkers, at, at+1)
			}
		}
	}
}

const (
	// maxQueryWorkers is the maximum number of workers in one placement query.
	maxQueryWorkers = 100
	// minQueryWorkers is the minimum number of workers in a query, if there are that
	// many candidates. Fewer are not worth a query.
	minQueryWorkers = 6
	// defaultAllowedFraction is the fraction of workers expected to be allowed while
	// there are no samples for a queue.
	defaultAllowedFraction = 0.35
	// minAllowedFraction bounds the learned fraction from below, because a query costs
	// time for each worker that it names.
	minAllowedFraction = 0.1
	// maxBusyCost is the maximum time that a query spends on workers without free
	// capacity, as a multiple of its fixed cost. Up to this point another query would
	// cost more.
	maxBusyCost = 1
	// candidateSurplus multiplies the number of workers that would be sufficient,
	// because free capacity changes while the response is in transit.
	candidateSurplus = 1.5
	// queryRetryInterval is the time until a failed query is retried.
	queryRetryInterval = 100 * time.Millisecond
)

// queryAdvice queries the adviser about workers for tasks of the step, unless no
// worker is worth a query. Workers known to be allowed come first, workers known not to
// be allowed are left out. It returns what the step waits for.
func (o *Owner) queryAdvice(s *step, p *pool, waiting int, now time.Duration) (reason WaitReason) {
	a := &s.advice
	policy := s.job.policy.Advice
	switch {
	case a.queryInFlight:
		return ReasonAdvice
	case now < a.retryAt || !o.AdviserFree(policy.Decide):
		return ReasonAdviser
	}
	queried, names, incarnations := o.queryCandidates(s, p, waiting, now)
	if len(names) == 0 {
		return ReasonCapacity
	}
	cost := policy.Decide + time.Duration(len(names))*policy.Each
	for _, c := range queried {
		c.node.promised = c.node.promised.Add(c.promise)
	}
	request := work.AdviceRequest{Step: s.name(), Workers: names}
	a.queryInFlight = true
	o.Counters.AdviceQueries++
	o.Advise(request, cost, func(response work.AdviceResponse, err error) {
		a.queryInFlight = false
		for _, c := range queried {
			c.node.promised = c.node.promised.Sub(c.promise)
		}
		o.passDue = true
		a.failed = err != nil
		if err != nil {
			o.Counters.AdviceQueriesFailed++
			a.retryAt = o.Now() + queryRetryInterval
			event.CellAdviceFailed.Log(o.Log).Str("step", request.Step).Int("workers", len(names)).Err(err).Send()
			return
		}
		o.allowedFractions.of(s.job.spec.Queue).add(float64(len(response.Good)) / float64(len(names)))
		// The response may have been delayed in transit: the validity of the tickets
		// counts from the earliest time at which it can have been given.
		restarted := func(worker string) bool {
			n := o.nodes[worker]
			return n == nil || n.incarnation != incarnations[worker]
		}
		response.Good = slices.DeleteFunc(response.Good, func(good work.Ticket) bool { return restarted(good.Worker) })
		a.recordResponse(slices.DeleteFunc(slices.Clone(names), restarted), incarnations, response, now+cost+min(response.Valid, policy.Valid))
		event.CellAdvice.Log(o.Log).Str("step", request.Step).Int("workers", len(names)).Int("good", len(response.Good)).
			Dur("took", o.Now()-now).Send()
	})
	return ReasonAdvice
}

// recordResponse records which of the queried workers may run the step, and their
// tickets with the incarnations for which they were requested.
func (a *advice) recordResponse(names []string, incarnations map[string]int64, response work.AdviceResponse, until time.Duration) {
	if a.allowed == nil {
		a.allowed = map[string]bool{}
		a.tickets = map[string]ticket{}
	}
	for _, name := range names {
		a.allowed[name] = false
	}
	for _, good := range response.Good {
		a.allowed[good.Worker] = true
		a.ticketsUntil = max(a.ticketsUntil, until)
		a.tickets[good.Worker] = ticket{value: good.Ticket, incarnation: incarnations[good.Worker], validUntil: until}
		if at, ok := slices.BinarySearch(a.ticketedWorkers, good.Worker); !ok {
			a.ticketedWorkers = slices.Insert(a.ticketedWorkers, at, good.Worker)
		}
	}
}

// learnAllowed queries the adviser while the step cannot start for another reason,
// unless enough workers are known. Without it a step that waits for a whole worker would
// have to query about each worker that becomes free, and would lose it meanwhile.
func (o *Owner) learnAllowed(s *step, p *pool, now time.Duration) {
	if s.job.policy.Advice != nil && s.mayLearn(p) {
		o.queryAdvice(s, p, len(s.tasks)-s.tasksDone-s.tasksRunning, now)
	}
}

// mayLearn reports whether queries about workers without free capacity are worthwhile.
func (s *step) mayLearn(p *pool) bool {
	return len(s.advice.allowed) < min(len(p.nodes), maxBusyWorkers(s.job.policy.Advice))
}

// queryScope returns the workers that a query for the step may name. In a full pool with
// a long backlog these have to be few.
func (s *step) queryScope(p *pool) (nodes []*node) {
	if s.spec.BestEffort || s.mayLearn(p) {
		return p.nodes
	}
	nodes = p.notFull
	for _, r := range s.reservations {
		if !slices.Contains(nodes, r.node) {
			nodes = append(slices.Clip(nodes), r.node)
		}
	}
	return nodes
}

// maxBusyWorkers returns how many workers without free capacity a query may name.
func maxBusyWorkers(policy *work.Advice) int {
	if policy.Each <= 0 {
		return maxQueryWorkers
	}
	return int(min(maxBusyCost*policy.Decide/policy.Each, maxQueryWorkers))
}

// queriedWorker is a worker that a placement query names.
type queriedWorker struct {
	node     *node
	known    bool // known to be allowed
	fits     int64
	slowness float64
	free     resource.Vector
	promise  resource.Vector // capacity that the step is expected to take there
}

// compareQueried orders workers by their use to a step: workers with free capacity first, among
// these the ones that are fast enough, then the ones known to be allowed, and then the ones of
// the speed that is left for the step. Busy workers with more free capacity come before fuller
// ones.
func compareQueried(a, b *queriedWorker, need sched.Need) int {
	speed, enough := 0, false
	if aFits, bFits := a.fits > 0, b.fits > 0; aFits == bFits && a.slowness != b.slowness {
		first, second := sched.Candidate{Slowness: a.slowness}, sched.Candidate{Slowness: b.slowness}
		speed, enough = need.Compare(&first, &second), need.InTime(&first) && need.InTime(&second)
	}
	switch {
	case speed != 0 && !enough:
		return speed
	case a.known != b.known:
		if a.known {
			return -1
		}
		return 1
	case speed != 0:
		return speed
	case a.fits != b.fits:
		return cmp.Compare(b.fits, a.fits)
	case a.fits > 0:
		return 0
	}
	return cmp.Or(cmp.Compare(b.free.Accelerators, a.free.Accelerators), cmp.Compare(b.free.MilliCores, a.free.MilliCores))
}

// queryCandidates selects the workers for a query: those with free capacity, as few as
// are likely to be sufficient. With a backlog of steps that all need advice, it leaves
// out capacity for which another query is in flight. Otherwise all steps would query the
// same workers, one would get them and the others would have to query again.
//
// If they are not sufficient, it adds unknown workers without free capacity as long as
// these cost less than another query. This is for steps that need all of a worker: few
// workers are free at any time, fewer of them are allowed, and the fixed cost of a query
// is high.
func (o *Owner) queryCandidates(s *step, p *pool, waiting int, now time.Duration) (queried []queriedWorker, names []string, incarnations map[string]int64) {
	a := &s.advice
	demand := s.tasks[0].demand()
	var list []queriedWorker
	nodes := s.queryScope(p)
	o.Counters.CandidatesChecked += int64(len(nodes))
	for _, n := range nodes {
		good, known := a.allowed[n.worker.ID]
		if known && !good || !o.mayRun(s, n) || a.hasTicket(n, now) {
			continue
		}
		free := o.freeFor(s, n, now).Sub(n.promised)
		fits := max(min(max(free.Count(demand), s.reservedTasks(n, now+s.job.policy.Advice.Decide)), int64(n.maxTasks(s, now))), 0)
		if fits > 0 || !known {
			list = append(list, queriedWorker{node: n, known: known, fits: fits, free: free, slowness: n.slownessFor(s)})
		}
	}
	need := o.need(s, p, false)
	slices.SortStableFunc(list, func(a, b queriedWorker) int { return compareQueried(&a, &b, need) })
	expectedFraction := defaultAllowedFraction
	if r := o.allowedFractions.of(s.job.spec.Queue); r.count >= minSamples {
		expectedFraction = max(r.mean, minAllowedFraction)
	}
	incarnations = map[string]int64{}
	busyLeft := maxBusyWorkers(s.job.policy.Advice)
	var covered float64
	for _, c := range list {
		if len(names) >= maxQueryWorkers || len(names) >= minQueryWorkers && covered >= candidateSurplus*float64(waiting) {
			break
		}
		if c.fits == 0 {
			if busyLeft == 0 {
				break
			}
			busyLeft--
		}
		names = append(names, c.node.worker.ID)
		incarnations[c.node.worker.ID] = c.node.incarnation
		fraction := expectedFraction
		if c.known {
			fraction = 1
		}
		expected := fraction * float64(c.fits)
		if left := float64(waiting) - covered; left > 0 {
			c.promise = demand.Scale(int64(math.Ceil(min(expected, left))))
		}
		covered += expected
		queried = append(queried, c)
	}
	return queried, names, incarnations
}
