package carrier

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/zeebo/errs"
	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/work"
)

// pipe connects a Client to a Server without a network.
type pipe struct {
	ctx       context.Context
	requests  chan *RequestBatch
	responses chan *ResponseBatch
}

// clientEnd is the Stream of the Client.
type clientEnd struct{ *pipe }

func (p clientEnd) Send(msg *RequestBatch) error {
	select {
	case p.requests <- msg:
		return nil
	case <-p.ctx.Done():
		return io.ErrClosedPipe
	}
}

func (p clientEnd) Receive() (msg *ResponseBatch, err error) {
	select {
	case msg := <-p.responses:
		return msg, nil
	case <-p.ctx.Done():
		return nil, io.EOF
	}
}

func (p clientEnd) Close() error { return nil }

// serverEnd is the ServerStream of the Server.
type serverEnd struct{ *pipe }

func (p serverEnd) Send(msg *ResponseBatch) error {
	select {
	case p.responses <- msg:
		return nil
	case <-p.ctx.Done():
		return io.ErrClosedPipe
	}
}

func (p serverEnd) Receive() (msg *RequestBatch, err error) {
	select {
	case msg := <-p.requests:
		return msg, nil
	case <-p.ctx.Done():
		return nil, io.EOF
	}
}

// harness contains a client and the carriers that it can reach. Its loop
// replaces the goroutine that owns the client.
type harness struct {
	client       *Client
	now          time.Duration
	loop         chan func()
	servers      map[string]*Server
	lostCarriers []string
}

// newHarness returns a harness without carriers.
func newHarness(t *testing.T) *harness {
	h := &harness{client: New(), loop: make(chan func(), 100), servers: map[string]*Server{}}
	h.client.Post = func(fn func()) { h.loop <- fn }
	h.client.Spawn = func(fn func()) { go fn() }
	h.client.Now = func() time.Duration { return h.now }
	h.client.OnLost = func(address string, _ int, _ error) { h.lostCarriers = append(h.lostCarriers, address) }
	h.client.Open = func(ctx context.Context, address string) (Stream, error) {
		server := h.servers[address]
		if server == nil {
			return nil, errors.New("connection refused")
		}
		p := &pipe{ctx, make(chan *RequestBatch), make(chan *ResponseBatch)}
		go func() { _ = server.Serve(ctx, serverEnd{p}) }()
		return clientEnd{p}, nil
	}
	t.Cleanup(h.client.Close)
	return h
}

// serve starts a carrier at the given address.
func (h *harness) serve(address string, targets Targets) *Server {
	s := &Server{Targets: targets, Spawn: func(fn func()) { go fn() }, Leaving: func() bool { return false }}
	h.servers[address] = s
	return s
}

// runUntil executes the functions posted to the loop until done returns true.
func (h *harness) runUntil(t *testing.T, done func() bool) {
	t.Helper()
	deadline := time.After(5 * time.Second)
	for !done() {
		select {
		case fn := <-h.loop:
			fn()
		case <-deadline:
			t.Fatal("no response within 5 s")
		}
	}
}

// outcome is the result of one request.
type outcome struct {
	response Response
	err      error
	received bool
}

// send sends a request and returns its outcome, which is filled in later.
func (h *harness) send(address string, request Request) *outcome {
	o := &outcome{}
	h.client.Send(context.Background(), address, request, func(response Response, err error) { *o = outcome{response, err, true} })
	return o
}

// stopRequest returns a request to stop a run on one incarnation of worker w-1.
func stopRequest() Request {
	return Request{Worker: "w-1", Born: 5, Timeout: time.Second, Stop: &work.RunRequest{Task: work.TaskRef{Job: "j"}, Run: 1}}
}

// TestErrorsKeepIdentity checks that a refusal by the worker is the same error
// for the owner, although only its index is transmitted.
func TestErrorsKeepIdentity(t *testing.T) {
	tests := []struct {
		name   string
		result error
		want   error // nil: the request was executed
	}{
		{"executed", nil, nil},
		{"a higher fencing token", errs.Combine(work.ErrFenced, errs.New("detail")), work.ErrFenced},
		{"no free capacity", work.ErrNoCapacity, work.ErrNoCapacity},
		{"another incarnation", work.ErrOtherIncarnation, work.ErrOtherIncarnation},
		{"started again", work.ErrRestarted, work.ErrRestarted},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.serve("c-1", Targets{Stop: func(_ context.Context, w work.Worker, request work.RunRequest) (work.RunResponse, error) {
				assert.Check(t, w.ID == "w-1" && w.Born == 5 && request.Run == 1)
				return work.RunResponse{Clock: 7 * time.Second}, test.result
			}})
			got := h.send("c-1", stopRequest())
			h.runUntil(t, func() bool { return got.received })
			if test.want == nil {
				assert.NilError(t, got.err)
				assert.Equal(t, got.response.Run.Clock, 7*time.Second)
				return
			}
			assert.Assert(t, errs.Is(got.err, test.want), "%v", got.err)
			assert.Assert(t, work.IsRefusal(got.err))
		})
	}
}

// TestFailureIsNoRefusal checks that the owner does not treat a failed call as
// a refusal, because the worker may have executed it.
func TestFailureIsNoRefusal(t *testing.T) {
	h := newHarness(t)
	h.serve("c-1", Targets{Stop: func(context.Context, work.Worker, work.RunRequest) (work.RunResponse, error) {
		return work.RunResponse{}, errors.New("connection reset")
	}})
	got := h.send("c-1", stopRequest())
	h.runUntil(t, func() bool { return got.received })
	assert.ErrorContains(t, got.err, "connection reset")
	assert.Assert(t, !work.IsRefusal(got.err), "the worker may have executed the request")
}

// TestCarrierIsLost sends a request to a carrier that cannot be reached. The
// request must fail, and the carrier must not be used during its cooldown.
func TestCarrierIsLost(t *testing.T) {
	h := newHarness(t)
	got := h.send("c-1", stopRequest())
	h.runUntil(t, func() bool { return got.received })
	assert.Assert(t, errs.Is(got.err, ErrNoResponse))
	assert.Assert(t, !work.IsRefusal(got.err))
	assert.DeepEqual(t, h.lostCarriers, []string{"c-1"})
	assert.Assert(t, !h.client.Available("c-1"))
	h.now += carrierCooldown
	assert.Assert(t, h.client.Available("c-1"))
}

// TestUnresponsiveCarrierIsLost uses a carrier that accepts requests and never
// responds. After several overdue responses the connection counts as lost.
func TestUnresponsiveCarrierIsLost(t *testing.T) {
	h := newHarness(t)
	h.serve("c-1", Targets{Stop: func(ctx context.Context, _ work.Worker, _ work.RunRequest) (work.RunResponse, error) {
		<-ctx.Done()
		time.Sleep(time.Hour)
		return work.RunResponse{}, nil
	}})
	outcomes := []*outcome{h.send("c-1", stopRequest()), h.send("c-1", stopRequest()), h.send("c-1", stopRequest())}
	h.now += time.Second + responseMargin - 1
	h.client.Expire()
	assert.Assert(t, !outcomes[0].received, "the request has not timed out yet")
	h.now += expireInterval
	h.client.Expire()
	for _, got := range outcomes {
		assert.Assert(t, got.received && errs.Is(got.err, ErrNoResponse))
	}
	assert.Assert(t, !h.client.Available("c-1"))
}

// TestOneTimeoutKeepsCarrier checks that a single overdue response does not
// count against the carrier, because the worker may be the one that is down.
func TestOneTimeoutKeepsCarrier(t *testing.T) {
	h := newHarness(t)
	h.serve("c-1", Targets{Stop: func(context.Context, work.Worker, work.RunRequest) (work.RunResponse, error) {
		time.Sleep(time.Hour)
		return work.RunResponse{}, nil
	}})
	got := h.send("c-1", stopRequest())
	h.now += time.Second + responseMargin
	h.client.Expire()
	assert.Assert(t, got.received && errs.Is(got.err, ErrNoResponse))
	assert.Assert(t, h.client.Available("c-1"))
}

// TestSilentCarrierIsLost guards against a carrier that is kept for ever although its connection
// has gone silent, because its responses become overdue one at a time.
func TestSilentCarrierIsLost(t *testing.T) {
	h := newHarness(t)
	silent := false
	h.serve("c-1", Targets{Stop: func(context.Context, work.Worker, work.RunRequest) (work.RunResponse, error) {
		if silent {
			time.Sleep(time.Hour)
		}
		return work.RunResponse{}, nil
	}})
	first := h.send("c-1", stopRequest())
	h.runUntil(t, func() bool { return first.received })
	silent = true
	for range 3 {
		assert.Assert(t, h.client.Available("c-1"))
		h.send("c-1", stopRequest())
		h.now += time.Second + responseMargin
		h.client.Expire()
	}
	assert.Assert(t, !h.client.Available("c-1"))
	assert.DeepEqual(t, h.lostCarriers, []string{"c-1"})
}

// TestLeavingCarrier checks that a carrier that is shutting down rejects
// requests without executing them.
func TestLeavingCarrier(t *testing.T) {
	h := newHarness(t)
	h.serve("c-1", Targets{}).Leaving = func() bool { return true }
	got := h.send("c-1", stopRequest())
	h.runUntil(t, func() bool { return got.received })
	assert.Assert(t, errs.Is(got.err, work.ErrNotSent))
	assert.Assert(t, work.IsRefusal(got.err))
	assert.Assert(t, !h.client.Available("c-1"))
}

// TestSlots guards against owners, or strangers, that make a carrier execute any number of
// requests at the same time.
func TestSlots(t *testing.T) {
	const slots, requests = 3, 20
	var running, most, done atomic.Int64
	begin := make(chan struct{})
	server := &Server{
		Spawn: func(fn func()) { go fn() }, Leaving: func() bool { return false }, Slots: make(chan struct{}, slots),
		Targets: Targets{Stop: func(context.Context, work.Worker, work.RunRequest) (work.RunResponse, error) {
			most.Store(max(most.Load(), running.Add(1)))
			<-begin
			running.Add(-1)
			done.Add(1)
			return work.RunResponse{}, nil
		}},
	}
	batch := &RequestBatch{}
	for i := range requests {
		batch.List = append(batch.List, Request{Number: uint64(i), Timeout: time.Second, Stop: &work.RunRequest{}})
	}
	ctx, cancel := context.WithCancel(t.Context())
	p := &pipe{ctx: ctx, requests: make(chan *RequestBatch, 1), responses: make(chan *ResponseBatch, requests)}
	p.requests <- batch
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, serverEnd{p}) }()
	for start := time.Now(); running.Load() < slots && time.Since(start) < 10*time.Second; time.Sleep(time.Millisecond) {
	}
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, running.Load(), int64(slots))
	close(begin)
	for start := time.Now(); done.Load() < requests && time.Since(start) < 10*time.Second; time.Sleep(time.Millisecond) {
	}
	assert.Equal(t, done.Load(), int64(requests))
	assert.Equal(t, most.Load(), int64(slots))
	cancel()
	assert.Assert(t, <-ended != nil)
}
