// Package slot manages the slots of a small set of minions. It forwards requests
// to the minions, never more at a time than a minion has slots, and queues
// requests while all slots are taken.
//
// # Usage
//
//	set := &slot.Set{ID: id, Post: loop.Post, ...}
//	set.SetHosts(hosts, now)
//	set.Serve(ctx, request, now, func(response slot.Response) { ... })
//	set.Tick(now)
//
// All methods must be called on the control goroutine. Calls to minions run on
// other goroutines.
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

// Outcome is the result of forwarding a request.
type Outcome string

// The outcomes of a request.
const (
	OutcomeDone    Outcome = "done"    // a minion answered completely
	OutcomeNotRun  Outcome = "not-run" // no part of the request was sent to a minion
	OutcomeUnknown Outcome = "unknown" // a minion may have processed the request
)

// Request is a request of a team for a minion.
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

// Summary describes a set to other processes. It is sent with heartbeats.
type Summary struct {
	Shard   shard.ID `json:"shard"`
	Service string   `json:"service"`
	Place   string   `json:"place"`
	Slots   int      `json:"slots"`
	Busy    int      `json:"busy"`
	Queued  int      `json:"queued"`
}

// Minion is the part of the minion protocol that a Set uses.
type Minion interface {
	Do(ctx context.Context, request minion.Request) (minion.Answer, error)
	Status(ctx context.Context) (minion.Status, error)
	Close()
}

// Set is the state of a set of minions of one service at its owner.
type Set struct {
	ID     shard.ID
	Epoch  int64
	Log    zerolog.Logger
	Checks *invariant.Checks
	// Now returns the current time.
	Now func() time.Time
	// Post runs a function on the control goroutine.
	Post func(func())
	// Go runs a function on another goroutine.
	Go func(func())
	// Connect returns the client for a minion.
	Connect func(host hostlist.Host) Minion
	// MayStart reports whether work may start now.
	MayStart func(now time.Time) bool
	// LeaseEnd returns when this process's lease of the set expires. No request
	// may be sent after it.
	LeaseEnd func() time.Time

	targets  map[string]*target
	queue    []*pendingRequest
	draining bool
	service  string
}

// target is the state of one minion.
type target struct {
	host     hostlist.Host
	client   Minion
	inFlight int // requests of this process
	// uncertainSlots is the number of slots that may be taken by requests of
	// former owners, or by requests of this process that failed after they were
	// sent.
	uncertainSlots int
	statusKnown    bool // a status poll was answered since the set is owned
	leaving        bool // according to the minion's status
	failures       int  // failed calls since the last answered request
	polling        bool
	pollGeneration int // increases when polls in flight become invalid
	nextPoll       time.Time
	cooldownUntil  time.Time // the minion gets no requests until then
}

// pendingRequest is a request that is queued or in flight.
type pendingRequest struct {
	request  Request
	ctx      context.Context
	deadline time.Time
	reply    func(Response)
}

const (
	statusPollInterval = 500 * time.Millisecond
	statusTimeout      = time.Second
	// uncertainPollInterval is the interval between two polls of a minion with
	// uncertain slots. It is short because such a minion gets no requests.
	uncertainPollInterval = 20 * time.Millisecond
	// failureThreshold is how many calls to a minion must fail without a request
	// answered in between before it is taken out of service.
	failureThreshold = 3
	// cooldown is how long a failing minion gets no requests.
	cooldown = 2 * time.Second
	// maxQueuedPerSlot bounds the number of queued requests per usable slot.
	maxQueuedPerSlot = 8
)

// SetHosts applies the entries of the host list for the minions of the set. All
// slots of a new minion are uncertain until a status poll is answered, because
// requests of former owners may take them.
func (s *Set) SetHosts(hosts []hostlist.Host, now time.Time) {
	if s.targets == nil {
		s.targets = map[string]*target{}
	}
	listed := map[string]bool{}
	for _, host := range hosts {
		listed[host.Name] = true
		s.service = host.Service
		t, ok := s.targets[host.Name]
		if !ok || t.host.Address != host.Address {
			t = &target{client: s.Connect(host), uncertainSlots: host.Slots, nextPoll: now}
			s.targets[host.Name] = t
		}
		t.host = host
	}
	for name, t := range s.targets {
		if !listed[name] {
			t.client.Close()
			delete(s.targets, name)
		}
	}
}

// Drain rejects new and queued requests. It reports that the set is drained at
// once, because requests in flight may finish after the set has another owner.
func (s *Set) Drain() (drained bool) {
	s.draining = true
	for _, pending := range s.queue {
		pending.reply(Response{ID: pending.request.ID, Outcome: OutcomeNotRun, NotOwner: true, Reason: "the owner is stopping"})
	}
	s.queue = nil
	return true
}

// Reopen accepts requests again. If the epoch has changed, another process may
// have owned the set in between. All slots except those of this process's own
// requests are then uncertain until the minions answer a status poll.
func (s *Set) Reopen(epoch int64) {
	s.draining = false
	if epoch == s.Epoch {
		return
	}
	s.Epoch = epoch
	for _, t := range s.targets {
		t.statusKnown = false
		t.uncertainSlots = max(0, t.host.Slots-t.inFlight)
		t.pollGeneration++
		t.nextPoll = time.Time{}
	}
}

// InFlight returns the number of requests of this process that were sent to
// minions and have not ended.
func (s *Set) InFlight() (n int) {
	for _, t := range s.targets {
		n += t.inFlight
	}
	return n
}

// Summary returns the summary of the set for other processes. It shows no slots
// while the set is draining.
func (s *Set) Summary(now time.Time) (sum Summary) {
	sum = Summary{Shard: s.ID, Service: s.service, Place: s.ID.Place(), Queued: len(s.queue)}
	if s.draining {
		return sum
	}
	for _, t := range s.targets {
		if t.usable(now) {
			sum.Slots += t.host.Slots
			sum.Busy += t.inFlight + t.uncertainSlots
		}
	}
	return sum
}

// usable reports whether requests may be sent to the minion if it has free slots.
func (t *target) usable(now time.Time) bool {
	return t.statusKnown && !t.leaving && !t.host.Leaving() && now.After(t.cooldownUntil)
}

// Serve forwards a request, or queues it until a slot is free or its timeout
// has passed. It calls reply once.
func (s *Set) Serve(ctx context.Context, req Request, now time.Time, reply func(Response)) {
	if s.draining || !s.MayStart(now) {
		reply(Response{ID: req.ID, Outcome: OutcomeNotRun, NotOwner: true, Reason: "not the owner"})
		return
	}
	pending := &pendingRequest{request: req, ctx: ctx, deadline: now.Add(time.Duration(req.TimeoutMS) * time.Millisecond), reply: reply}
	if t := s.mostFree(now); t != nil && len(s.queue) == 0 {
		s.send(t, pending)
		return
	}
	slots := 0
	for _, t := range s.targets {
		if t.usable(now) {
			slots += t.host.Slots
		}
	}
	if len(s.queue) >= slots*maxQueuedPerSlot {
		reply(Response{ID: req.ID, Outcome: OutcomeNotRun, Reason: fmt.Sprintf("%d requests wait for %d slots", len(s.queue), slots)})
		return
	}
	s.queue = append(s.queue, pending)
}

// mostFree returns the usable minion with the most free slots, or nil if no slot
// is free.
func (s *Set) mostFree(now time.Time) (best *target) {
	for _, name := range slices.Sorted(maps.Keys(s.targets)) {
		t := s.targets[name]
		if !t.usable(now) || t.freeSlots() <= 0 {
			continue
		}
		if best == nil || t.freeSlots() > best.freeSlots() {
			best = t
		}
	}
	return best
}

// freeSlots returns how many more requests may be sent to the minion. It is zero
// while slots are uncertain: the status shows how many slots other requests take
// only if this process sends none in the meantime.
func (t *target) freeSlots() int {
	if t.uncertainSlots > 0 {
		return 0
	}
	return t.host.Slots - t.inFlight
}

// send forwards a request to a minion with a free slot. The request is not sent
// if the process is paused until its lease has expired.
func (s *Set) send(t *target, pending *pendingRequest) {
	t.inFlight++
	s.Checks.Check(invariant.SlotCapacity, t.inFlight <= t.host.Slots, "minion", t.host.Name)
	s.Checks.Check(invariant.LeavingTarget, !t.host.Leaving() && !t.leaving, "minion", t.host.Name)
	leaseEnd := s.LeaseEnd()
	request := minion.Request{ID: pending.request.ID, Route: pending.request.Route, Body: pending.request.Body}
	s.Go(func() {
		ctx, cancel := context.WithDeadline(pending.ctx, pending.deadline)
		defer cancel()
		answer, err := minion.Answer{}, minion.ErrUnsent.New("the right to the minion lapsed")
		if s.Now().Before(leaseEnd) {
			answer, err = t.client.Do(ctx, request)
		}
		s.Post(func() { s.handleResponse(t, pending, answer, err) })
	})
}

// handleResponse processes the end of a request. If it is unknown whether the
// minion still processes the request, its slot becomes uncertain.
func (s *Set) handleResponse(t *target, pending *pendingRequest, answer minion.Answer, err error) {
	now := s.Now()
	t.inFlight--
	response := Response{ID: pending.request.ID, Minion: t.host.Name}
	switch {
	case err == nil:
		t.failures = 0
		response.Outcome, response.Status, response.ContentType, response.Body = OutcomeDone, answer.Status, answer.ContentType, answer.Body
	case minion.IsUnsent(err):
		response.Outcome, response.Reason = OutcomeNotRun, err.Error()
		s.recordFailure(t, now)
	default:
		response.Outcome, response.Reason = OutcomeUnknown, err.Error()
		t.uncertainSlots++
		s.recordFailure(t, now)
	}
	pending.reply(response)
	s.dispatch(now)
}

// recordFailure counts a failed call and takes the minion out of service when
// the threshold is reached, unless more than half of the set would then be out
// of service.
func (s *Set) recordFailure(t *target, now time.Time) {
	t.failures++
	t.nextPoll = now
	coolingDown := 0
	for _, other := range s.targets {
		if !now.After(other.cooldownUntil) {
			coolingDown++
		}
	}
	if t.failures >= failureThreshold && 2*(coolingDown+1) <= len(s.targets) {
		t.cooldownUntil = now.Add(cooldown)
	}
}

// dispatch sends queued requests while slots are free.
func (s *Set) dispatch(now time.Time) {
	for len(s.queue) > 0 {
		pending := s.queue[0]
		if pending.ctx.Err() != nil || !now.Before(pending.deadline) {
			s.queue = s.queue[1:]
			pending.reply(Response{ID: pending.request.ID, Outcome: OutcomeNotRun, Reason: "no slot became free in time"})
			continue
		}
		t := s.mostFree(now)
		if t == nil || !s.MayStart(now) {
			return
		}
		s.queue = s.queue[1:]
		s.send(t, pending)
	}
}

// Tick polls minions and ends queued requests whose timeout has passed or whose
// caller no longer waits.
func (s *Set) Tick(now time.Time) {
	for _, t := range s.targets {
		if !t.polling && !now.Before(t.nextPoll) {
			s.pollStatus(t, now)
		}
	}
	s.queue = slices.DeleteFunc(s.queue, func(pending *pendingRequest) bool {
		if pending.ctx.Err() == nil && now.Before(pending.deadline) {
			return false
		}
		pending.reply(Response{ID: pending.request.ID, Outcome: OutcomeNotRun, Reason: "no slot became free in time"})
		return true
	})
	s.dispatch(now)
}

// pollStatus requests the status of a minion. The response is ignored if Reopen
// has invalidated the poll in the meantime.
func (s *Set) pollStatus(t *target, now time.Time) {
	t.polling = true
	inFlightBefore, generation := t.inFlight, t.pollGeneration
	s.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
		defer cancel()
		status, err := t.client.Status(ctx)
		s.Post(func() {
			t.polling = false
			if generation == t.pollGeneration {
				s.handleStatus(t, now, inFlightBefore, status, err)
			}
		})
	})
}

// handleStatus processes the response to a status poll that was sent at sentAt
// with inFlightBefore requests of this process at the minion.
func (s *Set) handleStatus(t *target, sentAt time.Time, inFlightBefore int, status minion.Status, err error) {
	now := s.Now()
	t.nextPoll = now.Add(statusPollInterval)
	if err != nil {
		s.recordFailure(t, now)
		return
	}
	if !t.statusKnown {
		event.MinionResponding.Log(s.Log).Str("minion", t.host.Name).Dur("after", now.Sub(sentAt)).Send()
	}
	t.statusKnown, t.leaving = true, status.Leaving
	if t.uncertainSlots > 0 {
		// No requests are sent while slots are uncertain. If none was in flight
		// before the poll, none was in flight during it, and all busy slots are
		// taken by other requests.
		if inFlightBefore == 0 {
			t.uncertainSlots = status.Busy
		}
		t.nextPoll = now.Add(uncertainPollInterval)
	}
	s.dispatch(now)
}
