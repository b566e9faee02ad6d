package slot

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/hostlist"
	"turmericspread.org/turmericspread/internal/invariant"
	"turmericspread.org/turmericspread/internal/minion"
)

// fakeMinion blocks requests and status polls until the test answers them.
type fakeMinion struct {
	requests    []chan error
	statusPolls []chan minion.Status
}

func (m *fakeMinion) Do(_ context.Context, request minion.Request) (minion.Answer, error) {
	end := make(chan error, 1)
	m.requests = append(m.requests, end)
	return minion.Answer{Status: 200, Body: []byte(request.ID)}, <-end
}

func (m *fakeMinion) Status(context.Context) (minion.Status, error) {
	reply := make(chan minion.Status, 1)
	m.statusPolls = append(m.statusPolls, reply)
	return <-reply, nil
}

func (m *fakeMinion) Close() {}

// harness runs a Set with one fakeMinion. Calls to the minion block in their own
// goroutines, and runPosted runs what they post to the control goroutine.
type harness struct {
	set    *Set
	fake   *fakeMinion
	now    time.Time
	posted chan func()
}

func newHarness(t *testing.T, slots int) *harness {
	t.Helper()
	h := &harness{fake: &fakeMinion{}, now: time.Unix(1000, 0), posted: make(chan func(), 100)}
	h.set = &Set{
		ID: "minions/a/s/a", Log: zerolog.Nop(), Checks: invariant.New(zerolog.Nop()),
		Now: func() time.Time { return h.now }, Post: func(fn func()) { h.posted <- fn }, Go: func(fn func()) { go fn() },
		Connect:  func(hostlist.Host) Minion { return h.fake },
		MayStart: func(time.Time) bool { return true },
		LeaseEnd: func() time.Time { return h.now.Add(time.Hour) },
	}
	h.set.SetHosts([]hostlist.Host{{Name: "m1", Service: "s", Slots: slots, Connections: 64}}, h.now)
	h.pollWithBusy(0)
	return h
}

// runPosted gives calls in flight time to proceed and runs the functions that
// they post.
func (h *harness) runPosted() {
	time.Sleep(2 * time.Millisecond)
	for {
		select {
		case fn := <-h.posted:
			fn()
			time.Sleep(time.Millisecond)
		default:
			return
		}
	}
}

// startPoll starts a status poll and returns the channel for its reply.
func (h *harness) startPoll() chan minion.Status {
	h.now = h.now.Add(time.Second)
	h.set.Tick(h.now)
	h.runPosted()
	return h.fake.statusPolls[len(h.fake.statusPolls)-1]
}

// pollWithBusy runs a status poll that reports a number of busy slots.
func (h *harness) pollWithBusy(busy int) {
	reply := h.startPoll()
	reply <- minion.Status{Busy: busy}
	h.runPosted()
}

func (h *harness) serve(id string) {
	req := Request{ID: id, TimeoutMS: 600_000}
	h.set.Serve(context.Background(), req, h.now, func(Response) {})
	h.runPosted()
}

// TestUnknownRequestKeepsItsSlot guards against reusing the slot of a request
// whose connection was lost but which the minion may still process. Other
// requests of the set end and start while a status poll is in flight, so the
// number of busy slots in its reply does not show whether the slot is free.
func TestUnknownRequestKeepsItsSlot(t *testing.T) {
	const slots = 2
	h := newHarness(t, slots)
	h.serve("lost")
	h.fake.requests[0] <- errors.New("connection reset")
	h.runPosted()
	h.serve("a")
	sent := len(h.fake.requests) - 1 // requests other than the lost one
	reply := h.startPoll()
	if sent > 0 {
		h.fake.requests[1] <- nil
		h.runPosted()
	}
	h.serve("b")
	reply <- minion.Status{Busy: 1} // only the lost request, before b arrived
	h.runPosted()
	h.serve("c")
	inFlight := h.set.InFlight()
	assert.Assert(t, inFlight+1 <= slots, "%d requests in addition to the lost one on %d slots", inFlight, slots)

	// Once a status shows that no slot is busy, all slots are used again.
	for _, end := range h.fake.requests[1:] {
		select {
		case end <- nil:
		default:
		}
	}
	h.runPosted()
	for range 3 {
		h.pollWithBusy(0)
	}
	h.serve("d")
	assert.Assert(t, h.set.InFlight() > 0, "the minion must be used again once its status shows no busy slots")
}
