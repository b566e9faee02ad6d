package cell

import (
	"cmp"
	"math"
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/work"
)

// advice is what is known of the workers that may run a step. Which they are
// does not change; the tickets that prove it run out.
type advice struct {
	known   map[string]bool // by worker: whether it may run the step
	tickets map[string]ticket
	holders []string      // workers that were ever given a ticket, sorted
	until   time.Duration // when the last ticket runs out
	busy    bool
	retryAt time.Duration
}

type ticket struct {
	value string
	born  int64
	until time.Duration
}

// ticketMargin is the least validity with which a ticket is used: the record
// and the start come first.
const ticketMargin = 200 * time.Millisecond

// permits reports whether there is a ticket for the worker's present life.
func (a *advice) permits(n *node, now time.Duration) bool {
	t, ok := a.tickets[n.w.ID]
	return ok && now+ticketMargin < t.until && t.born == n.born
}

func (a *advice) ticket(n *node) string { return a.tickets[n.w.ID].value }

// drop forgets a ticket that a worker has refused.
func (a *advice) drop(worker string) { delete(a.tickets, worker) }

const (
	// adviceMost is the largest number of workers in one question.
	adviceMost = 100
	// adviceLeast is the smallest number worth asking about.
	adviceLeast = 6
	// adviceShare is the share of workers expected to be allowed while nothing is
	// known of a queue.
	adviceShare = 0.35
	// adviceShareLeast bounds the share that is learned: a question costs time
	// for each worker named.
	adviceShareLeast = 0.1
	// adviceSpare multiplies the number of workers that would be enough: room
	// changes while the answer is on its way.
	adviceSpare = 1.5
	// adviceRetry is the pause after a question that was refused.
	adviceRetry = 100 * time.Millisecond
)

// askAdvice asks about workers with room for tasks of the step. Workers known
// to be allowed go first, those known not to be are left out. It returns what
// the step waits for.
func (o *Owner) askAdvice(s *step, nodes []*node, waiting int, now time.Duration) (reason WaitReason) {
	a := &s.advice
	policy := s.job.queue.Advice
	switch {
	case a.busy:
		return ReasonAdvice
	case now < a.retryAt || o.advising[policy.Decide] >= o.MaxAdviceCalls(policy.Decide):
		return ReasonAdviser
	}
	named, names, lives := o.adviceCandidates(s, nodes, waiting, now)
	if len(names) == 0 {
		return ReasonCapacity
	}
	cost := policy.Decide + time.Duration(len(names))*policy.Each
	for _, c := range named {
		c.node.promised = c.node.promised.Add(c.promise)
	}
	order := work.AdviceRequest{Step: work.TaskRef{Job: s.job.spec.ID, Occurrence: s.occurrence, Step: s.number}.StepName(), Workers: names}
	a.busy = true
	o.advising[policy.Decide]++
	o.Counters.AdviceQueries++
	o.Advise(order, cost, func(report work.AdviceResponse, err error) {
		a.busy = false
		o.advising[policy.Decide]--
		for _, c := range named {
			c.node.promised = c.node.promised.Sub(c.promise)
		}
		o.changed = true
		if err != nil {
			o.Counters.AdviceQueriesFailed++
			a.retryAt = o.Now() + adviceRetry
			event.CellAdviceFailed.Log(o.Log).Str("step", order.Step).Int("workers", len(names)).Err(err).Send()
			return
		}
		o.shares.of(s.job.spec.Queue).add(float64(len(report.Good)) / float64(len(names)))
		// The answer may have waited on its way: the tickets count from when it can
		// have been given at the earliest.
		a.learn(names, lives, report, now+cost+min(report.Valid, policy.Valid))
		event.CellAdvice.Log(o.Log).Str("step", order.Step).Int("workers", len(names)).Int("good", len(report.Good)).
			Dur("took", o.Now()-now).Send()
	})
	return ReasonAdvice
}

func (a *advice) learn(names []string, lives map[string]int64, report work.AdviceResponse, until time.Duration) {
	if a.known == nil {
		a.known = map[string]bool{}
		a.tickets = map[string]ticket{}
	}
	for _, name := range names {
		a.known[name] = false
	}
	for _, good := range report.Good {
		a.known[good.Worker] = true
		a.until = max(a.until, until)
		a.tickets[good.Worker] = ticket{value: good.Ticket, born: lives[good.Worker], until: until}
		if at, ok := slices.BinarySearch(a.holders, good.Worker); !ok {
			a.holders = slices.Insert(a.holders, at, good.Worker)
		}
	}
}

// candidate is a worker that a question names.
type candidate struct {
	node    *node
	known   bool // to be allowed
	fits    int64
	promise resource.Vector // room that the step is expected to take there
}

// adviceCandidates picks whom to ask about: as few as are likely to be enough.
// It answers a backlog of steps that all have to ask: room that another
// question was asked for is left out, or all would ask for the same workers, one
// would get them and the others ask again.
func (o *Owner) adviceCandidates(s *step, nodes []*node, waiting int, now time.Duration) (named []candidate, names []string, lives map[string]int64) {
	a := &s.advice
	want := s.tasks[0].want()
	var list []candidate
	o.Counters.CandidatesChecked += int64(len(nodes))
	for _, n := range nodes {
		good, known := a.known[n.w.ID]
		if known && !good || !o.mayRun(s, n) || a.permits(n, now) {
			continue
		}
		fits := min(n.free().Sub(n.promised).Count(want), int64(n.most(s)))
		if fits > 0 {
			list = append(list, candidate{node: n, known: known, fits: fits})
		}
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		if a.known != b.known {
			if a.known {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.fits, a.fits)
	})
	learned := adviceShare
	if r := o.shares.of(s.job.spec.Queue); r.count >= ratioSamples {
		learned = max(r.mean, adviceShareLeast)
	}
	lives = map[string]int64{}
	var enough float64
	for _, c := range list {
		if len(names) >= adviceMost || len(names) >= adviceLeast && enough >= adviceSpare*float64(waiting) {
			break
		}
		names = append(names, c.node.w.ID)
		lives[c.node.w.ID] = c.node.born
		share := learned
		if c.known {
			share = 1
		}
		expected := share * float64(c.fits)
		if left := float64(waiting) - enough; left > 0 {
			c.promise = want.Scale(int64(math.Ceil(min(expected, left))))
		}
		enough += expected
		named = append(named, c)
	}
	return named, names, lives
}
