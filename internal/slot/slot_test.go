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

// fakeMinion keeps requests and polls until the test ends them.
type fakeMinion struct {
	requests []chan error
	statuses []chan minion.Status
}

func (m *fakeMinion) Do(_ context.Context, request minion.Request) (minion.Answer, error) {
	end := make(chan error, 1)
	m.requests = append(m.requests, end)
	return minion.Answer{Status: 200, Body: []byte(request.ID)}, <-end
}

func (m *fakeMinion) Status(context.Context) (minion.Status, error) {
	answer := make(chan minion.Status, 1)
	m.statuses = append(m.statuses, answer)
	return <-answer, nil
}

func (m *fakeMinion) Close() {}

// bench runs a Set whose calls wait in goroutines; settle lets them go on.
type bench struct {
	set   *Set
	fake  *fakeMinion
	now   time.Time
	posts chan func()
}

func newBench(t *testing.T, slots int) *bench {
	t.Helper()
	b := &bench{fake: &fakeMinion{}, now: time.Unix(1000, 0), posts: make(chan func(), 100)}
	b.set = &Set{
		ID: "minions/a/s/a", Log: zerolog.Nop(), Checks: invariant.New(zerolog.Nop()),
		Now: func() time.Time { return b.now }, Post: func(fn func()) { b.posts <- fn }, Go: func(fn func()) { go fn() },
		Connect:  func(hostlist.Host) Minion { return b.fake },
		MayStart: func(time.Time) bool { return true },
		LeaseEnd: func() time.Time { return b.now.Add(time.Hour) },
	}
	b.set.SetHosts([]hostlist.Host{{Name: "m1", Service: "s", Slots: slots, Connections: 64}}, b.now)
	b.status(0)
	return b
}

// settle waits for calls under way and runs what they posted.
func (b *bench) settle() {
	time.Sleep(2 * time.Millisecond)
	for {
		select {
		case fn := <-b.posts:
			fn()
			time.Sleep(time.Millisecond)
		default:
			return
		}
	}
}

// poll begins a status poll and returns its answer's channel.
func (b *bench) poll() chan minion.Status {
	b.now = b.now.Add(time.Second)
	b.set.Tick(b.now)
	b.settle()
	return b.fake.statuses[len(b.fake.statuses)-1]
}

func (b *bench) status(busy int) {
	answer := b.poll()
	answer <- minion.Status{Busy: busy}
	b.settle()
}

func (b *bench) serve(id string) {
	req := Request{ID: id, TimeoutMS: 600_000}
	b.set.Serve(context.Background(), req, b.now, func(Response) {})
	b.settle()
}

// TestUnknownRequestKeepsItsSlot follows a request whose end was not seen. Our
// own requests end and begin while a status is on its way, so the status must
// not be taken to show that the slot is free.
func TestUnknownRequestKeepsItsSlot(t *testing.T) {
	const slots = 2
	b := newBench(t, slots)
	b.serve("lost")
	b.fake.requests[0] <- errors.New("connection reset")
	b.settle()
	b.serve("a")
	sent := len(b.fake.requests) - 1 // requests beside the lost one
	answer := b.poll()
	if sent > 0 {
		b.fake.requests[1] <- nil
		b.settle()
	}
	b.serve("b")
	answer <- minion.Status{Busy: 1} // the lost request alone, before b arrived
	b.settle()
	b.serve("c")
	inFlight := b.set.InFlight()
	assert.Assert(t, inFlight+1 <= slots, "%d requests beside the lost one on %d slots", inFlight, slots)

	// Once a status shows that nothing runs, all slots are used again.
	for _, end := range b.fake.requests[1:] {
		select {
		case end <- nil:
		default:
		}
	}
	b.settle()
	for range 3 {
		b.status(0)
	}
	b.serve("d")
	assert.Assert(t, b.set.InFlight() > 0, "the minion is used again")
}
