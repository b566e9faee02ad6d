// Package slot owns the slots and connections of a small set of minions: it
// forwards requests to them, never more at a time than a minion has slots.
//
// # Usage
//
//	set := &slot.Set{ID: id, Post: loop.Post, ...}
//	set.SetHosts(hosts, now)
//	set.Serve(request, now, func(answer slot.Response) { ... })
//	set.Tick(now)
//
// All methods run on the control goroutine; requests run on others.
package slot

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/hostlist"
	"turmericspread.org/turmericspread/internal/invariant"
	"turmericspread.org/turmericspread/internal/minion"
	"turmericspread.org/turmericspread/internal/shard"
)

// Outcome is what became of a request.
type Outcome string

// The outcomes of a request.
const (
	OutcomeDone    Outcome = "done"    // the whole answer of a minion
	OutcomeNotRun  Outcome = "not-run" // nothing was written to a minion
	OutcomeUnknown Outcome = "unknown" // a minion may have run it
)

// Request is one request on its way to a minion.
type Request struct {
	Shard     shard.ID `json:"shard"`
	ID        string   `json:"id"`
	Team      string   `json:"team"`
	Route     string   `json:"route"`
	Body      []byte   `json:"body"`
	TimeoutMS int64    `json:"timeout-ms"`
}

// Response is the outcome of a request with the minion's answer, if it is done.
type Response struct {
	ID          string  `json:"id"`
	Outcome     Outcome `json:"outcome"`
	NotOwner    bool    `json:"not-owner,omitempty"`
	Reason      string  `json:"reason,omitempty"`
	Minion      string  `json:"minion,omitempty"`
	Status      int     `json:"status,omitempty"`
	ContentType string  `json:"content-type,omitempty"`
	Body        []byte  `json:"body,omitempty"`
}

// Summary is what other processes learn of a set from heartbeats.
type Summary struct {
	Shard   shard.ID `json:"shard"`
	Service string   `json:"service"`
	Place   string   `json:"place"`
	Slots   int      `json:"slots"`
	Busy    int      `json:"busy"`
	Queued  int      `json:"queued"`
}

// Minion is the part of a minion's protocol that a Set uses.
type Minion interface {
	Do(ctx context.Context, request minion.Request) (minion.Answer, error)
	Status(ctx context.Context) (minion.Status, error)
	Close()
}

// Set is the owner's state of a set of minions of one service.
type Set struct {
	ID     shard.ID
	Epoch  int64
	Log    zerolog.Logger
	Checks *invariant.Checks
	// Now reads the clock.
	Now func() time.Time
	// Post runs a function on the control goroutine.
	Post func(func())
	// Go runs a function on another goroutine.
	Go func(func())
	// Connect returns the client of a minion.
	Connect func(host hostlist.Host) Minion
	// MayStart reports whether work may start now.
	MayStart func(now time.Time) bool
	// LeaseEnd returns until when work may start.
	LeaseEnd func() time.Time

	targets  map[string]*target
	queue    []*waiting
	draining bool
	service  string
}

type target struct {
	host     hostlist.Host
	client   Minion
	inFlight int
	// foreign counts slots that requests of earlier owners, or requests whose
	// end was not seen, may still take.
	foreign   int
	heard     bool
	leaving   bool
	failures  int
	polling   bool
	polls     int // grows when polls under way say nothing any more
	nextPoll  time.Time
	downUntil time.Time
}

type waiting struct {
	request  Request
	ctx      context.Context
	deadline time.Time
	reply    func(Response)
}

const (
	statusPoll    = 500 * time.Millisecond
	statusTimeout = time.Second
	// foreignPoll is the time between two polls of a minion with a request whose
	// end was not seen.
	foreignPoll = 20 * time.Millisecond
	// failureLimit is how many exchanges in a row may fail before a minion is taken out.
	failureLimit = 3
	// outOfService is how long a failing minion gets no requests.
	outOfService = 2 * time.Second
	// queuePerSlot bounds the requests that wait, as a multiple of the slots.
	queuePerSlot = 8
)

// SetHosts takes the set's rows of the host list.
func (s *Set) SetHosts(hosts []hostlist.Host, now time.Time) {
	if s.targets == nil {
		s.targets = map[string]*target{}
	}
	seen := map[string]bool{}
	for _, host := range hosts {
		seen[host.Name] = true
		s.service = host.Service
		t, ok := s.targets[host.Name]
		if !ok || t.host.Address != host.Address {
			t = &target{client: s.Connect(host), foreign: host.Slots, nextPoll: now}
			s.targets[host.Name] = t
		}
		t.host = host
	}
	for name, t := range s.targets {
		if !seen[name] {
			t.client.Close()
			delete(s.targets, name)
		}
	}
}

// Drain refuses new requests and reports whether none waits in the queue.
// Requests in flight go on after the set has another owner.
func (s *Set) Drain() (drained bool) {
	s.draining = true
	for _, w := range s.queue {
		w.reply(Response{ID: w.request.ID, Outcome: OutcomeNotRun, NotOwner: true, Reason: "the owner is stopping"})
	}
	s.queue = nil
	return true
}

// Reopen takes requests again. After another process owned the set in between,
// all slots but those of this process's own requests count as taken until the
// minions are heard.
func (s *Set) Reopen(epoch int64) {
	s.draining = false
	if epoch == s.Epoch {
		return
	}
	s.Epoch = epoch
	for _, t := range s.targets {
		t.heard = false
		t.foreign = max(0, t.host.Slots-t.inFlight)
		t.polls++
		t.nextPoll = time.Time{}
	}
}

// InFlight returns how many requests this process has at the minions.
func (s *Set) InFlight() (n int) {
	for _, t := range s.targets {
		n += t.inFlight
	}
	return n
}

// Summary returns what other processes need to know of the set.
func (s *Set) Summary(now time.Time) (sum Summary) {
	sum = Summary{Shard: s.ID, Service: s.service, Place: s.ID.Place(), Queued: len(s.queue)}
	if s.draining {
		return sum
	}
	for _, t := range s.targets {
		if t.usable(now) {
			sum.Slots += t.host.Slots
			sum.Busy += t.inFlight + t.foreign
		}
	}
	return sum
}

func (t *target) usable(now time.Time) bool {
	return t.heard && !t.leaving && !t.host.Leaving() && now.After(t.downUntil)
}

// Serve forwards a request, or queues it until its time is over; reply is
// called once.
func (s *Set) Serve(ctx context.Context, req Request, now time.Time, reply func(Response)) {
	if s.draining || !s.MayStart(now) {
		reply(Response{ID: req.ID, Outcome: OutcomeNotRun, NotOwner: true, Reason: "not the owner"})
		return
	}
	w := &waiting{request: req, ctx: ctx, deadline: now.Add(time.Duration(req.TimeoutMS) * time.Millisecond), reply: reply}
	if t := s.free(now); t != nil && len(s.queue) == 0 {
		s.send(t, w)
		return
	}
	slots := 0
	for _, t := range s.targets {
		if t.usable(now) {
			slots += t.host.Slots
		}
	}
	if len(s.queue) >= slots*queuePerSlot {
		reply(Response{ID: req.ID, Outcome: OutcomeNotRun, Reason: fmt.Sprintf("%d requests wait for %d slots", len(s.queue), slots)})
		return
	}
	s.queue = append(s.queue, w)
}

// free returns the usable minion with the most free slots.
func (s *Set) free(now time.Time) (best *target) {
	for _, name := range slices.Sorted(maps.Keys(s.targets)) {
		t := s.targets[name]
		if !t.usable(now) || t.room() <= 0 {
			continue
		}
		if best == nil || t.room() > best.room() {
			best = t
		}
	}
	return best
}

// room returns how many requests a minion can take. While a slot may be taken
// by a request whose end was not seen, it takes none: its status tells which
// slots are taken only when no other request comes and goes.
func (t *target) room() int {
	if t.foreign > 0 {
		return 0
	}
	return t.host.Slots - t.inFlight
}

func (s *Set) send(t *target, w *waiting) {
	t.inFlight++
	s.Checks.Check(invariant.SlotCapacity, t.inFlight <= t.host.Slots, "minion", t.host.Name)
	s.Checks.Check(invariant.LeavingTarget, !t.host.Leaving() && !t.leaving, "minion", t.host.Name)
	right := s.LeaseEnd()
	request := minion.Request{ID: w.request.ID, Route: w.request.Route, Body: w.request.Body}
	s.Go(func() {
		ctx, cancel := context.WithDeadline(w.ctx, w.deadline)
		defer cancel()
		answer, err := minion.Answer{}, minion.ErrUnsent.New("the right to the minion lapsed")
		if s.Now().Before(right) {
			answer, err = t.client.Do(ctx, request)
		}
		s.Post(func() { s.done(t, w, answer, err) })
	})
}

func (s *Set) done(t *target, w *waiting, answer minion.Answer, err error) {
	now := s.Now()
	t.inFlight--
	out := Response{ID: w.request.ID, Minion: t.host.Name}
	switch {
	case err == nil:
		t.failures = 0
		out.Outcome, out.Status, out.ContentType, out.Body = OutcomeDone, answer.Status, answer.ContentType, answer.Body
	case minion.IsUnsent(err):
		out.Outcome, out.Reason = OutcomeNotRun, err.Error()
		s.failed(t, now)
	default:
		out.Outcome, out.Reason = OutcomeUnknown, err.Error()
		t.foreign++
		s.failed(t, now)
	}
	w.reply(out)
	s.dispatch(now)
}

// failed takes a minion out of service after a run of failures, but never
// more than half of the set.
func (s *Set) failed(t *target, now time.Time) {
	t.failures++
	t.nextPoll = now
	down := 0
	for _, other := range s.targets {
		if !now.After(other.downUntil) {
			down++
		}
	}
	if t.failures >= failureLimit && 2*(down+1) <= len(s.targets) {
		t.downUntil = now.Add(outOfService)
	}
}

// dispatch sends queued requests while slots are free.
func (s *Set) dispatch(now time.Time) {
	for len(s.queue) > 0 {
		w := s.queue[0]
		if w.ctx.Err() != nil || !now.Before(w.deadline) {
			s.queue = s.queue[1:]
			w.reply(Response{ID: w.request.ID, Outcome: OutcomeNotRun, Reason: "no slot became free in time"})
			continue
		}
		t := s.free(now)
		if t == nil || !s.MayStart(now) {
			return
		}
		s.queue = s.queue[1:]
		s.send(t, w)
	}
}

// Tick polls minions and ends requests that waited too long.
func (s *Set) Tick(now time.Time) {
	for _, t := range s.targets {
		if !t.polling && !now.Before(t.nextPoll) {
			s.poll(t, now)
		}
	}
	s.queue = slices.DeleteFunc(s.queue, func(w *waiting) bool {
		if w.ctx.Err() == nil && now.Before(w.deadline) {
			return false
		}
		w.reply(Response{ID: w.request.ID, Outcome: OutcomeNotRun, Reason: "no slot became free in time"})
		return true
	})
	s.dispatch(now)
}

func (s *Set) poll(t *target, now time.Time) {
	t.polling = true
	before, polls := t.inFlight, t.polls
	s.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
		defer cancel()
		status, err := t.client.Status(ctx)
		s.Post(func() {
			t.polling = false
			if polls == t.polls {
				s.polled(t, now, before, status, err)
			}
		})
	})
}

func (s *Set) polled(t *target, sentAt time.Time, before int, status minion.Status, err error) {
	now := s.Now()
	t.nextPoll = now.Add(statusPoll)
	if err != nil {
		s.failed(t, now)
		return
	}
	if !t.heard {
		event.MinionResponding.Log(s.Log).Str("minion", t.host.Name).Dur("after", now.Sub(sentAt)).Send()
	}
	t.heard, t.leaving = true, status.Leaving
	if t.foreign > 0 {
		// None is sent meanwhile, so none was in flight during the poll if none
		// was before it.
		if before == 0 {
			t.foreign = status.Busy
		}
		t.nextPoll = now.Add(foreignPoll)
	}
	s.dispatch(now)
}
