package carrier

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/zeebo/errs"
	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/work"
)

// pipe connects a Client to a Server without a network.
type pipe struct {
	ctx     context.Context
	orders  chan *RequestBatch
	answers chan *ResponseBatch
}

type clientEnd struct{ *pipe }

func (p clientEnd) Send(msg *RequestBatch) error {
	select {
	case p.orders <- msg:
		return nil
	case <-p.ctx.Done():
		return io.ErrClosedPipe
	}
}

func (p clientEnd) Receive() (msg *ResponseBatch, err error) {
	select {
	case msg := <-p.answers:
		return msg, nil
	case <-p.ctx.Done():
		return nil, io.EOF
	}
}

func (p clientEnd) Close() error { return nil }

type serverEnd struct{ *pipe }

func (p serverEnd) Send(msg *ResponseBatch) error {
	select {
	case p.answers <- msg:
		return nil
	case <-p.ctx.Done():
		return io.ErrClosedPipe
	}
}

func (p serverEnd) Receive() (msg *RequestBatch, err error) {
	select {
	case msg := <-p.orders:
		return msg, nil
	case <-p.ctx.Done():
		return nil, io.EOF
	}
}

// bench is a client and the carriers that it can reach. Its loop stands for the
// goroutine that owns the client.
type bench struct {
	client  *Client
	now     time.Duration
	loop    chan func()
	servers map[string]*Server
	lost    []string
}

func newBench(t *testing.T) *bench {
	b := &bench{client: New(), loop: make(chan func(), 100), servers: map[string]*Server{}}
	b.client.Post = func(fn func()) { b.loop <- fn }
	b.client.Spawn = func(fn func()) { go fn() }
	b.client.Now = func() time.Duration { return b.now }
	b.client.OnLost = func(address string, _ int, _ error) { b.lost = append(b.lost, address) }
	b.client.Open = func(ctx context.Context, address string) (Stream, error) {
		server := b.servers[address]
		if server == nil {
			return nil, errors.New("connection refused")
		}
		p := &pipe{ctx, make(chan *RequestBatch), make(chan *ResponseBatch)}
		go func() { _ = server.Serve(ctx, serverEnd{p}) }()
		return clientEnd{p}, nil
	}
	t.Cleanup(b.client.Close)
	return b
}

func (b *bench) serve(address string, targets Targets) *Server {
	s := &Server{Targets: targets, Spawn: func(fn func()) { go fn() }, Leaving: func() bool { return false }}
	b.servers[address] = s
	return s
}

// run lets the loop work until done reports true.
func (b *bench) run(t *testing.T, done func() bool) {
	t.Helper()
	deadline := time.After(5 * time.Second)
	for !done() {
		select {
		case fn := <-b.loop:
			fn()
		case <-deadline:
			t.Fatal("no answer")
		}
	}
}

// outcome is what became of one order.
type outcome struct {
	answer Response
	err    error
	known  bool
}

func (b *bench) send(address string, order Request) *outcome {
	o := &outcome{}
	b.client.Send(context.Background(), address, order, func(a Response, err error) { *o = outcome{a, err, true} })
	return o
}

func stopOrder() Request {
	return Request{Worker: "w-1", Timeout: time.Second, Stop: &work.RunRequest{Task: work.TaskRef{Job: "j"}, Run: 1}}
}

func TestAnswersKeepTheirMeaning(t *testing.T) {
	tests := []struct {
		name   string
		result error
		want   error // nil: the order was carried out
	}{
		{"carried out", nil, nil},
		{"a higher fence", errs.Combine(work.ErrFenced, errs.New("detail")), work.ErrFenced},
		{"no room", work.ErrNoCapacity, work.ErrNoCapacity},
		{"another life", work.ErrOtherIncarnation, work.ErrOtherIncarnation},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t)
			b.serve("c-1", Targets{Stop: func(_ context.Context, w work.Worker, order work.RunRequest) (work.RunResponse, error) {
				assert.Check(t, w.ID == "w-1" && order.Run == 1)
				return work.RunResponse{Clock: 7 * time.Second}, test.result
			}})
			got := b.send("c-1", stopOrder())
			b.run(t, func() bool { return got.known })
			if test.want == nil {
				assert.NilError(t, got.err)
				assert.Equal(t, got.answer.Run.Clock, 7*time.Second)
				return
			}
			assert.Assert(t, errs.Is(got.err, test.want), "%v", got.err)
			assert.Assert(t, work.IsRefusal(got.err))
		})
	}
}

func TestFailureIsNoRefusal(t *testing.T) {
	b := newBench(t)
	b.serve("c-1", Targets{Stop: func(context.Context, work.Worker, work.RunRequest) (work.RunResponse, error) {
		return work.RunResponse{}, errors.New("connection reset")
	}})
	got := b.send("c-1", stopOrder())
	b.run(t, func() bool { return got.known })
	assert.ErrorContains(t, got.err, "connection reset")
	assert.Assert(t, !work.IsRefusal(got.err), "the worker may have carried it out")
}

// TestCarrierIsLost ends the calls of a carrier that cannot be reached and does
// not use it for a while.
func TestCarrierIsLost(t *testing.T) {
	b := newBench(t)
	got := b.send("c-1", stopOrder())
	b.run(t, func() bool { return got.known })
	assert.Assert(t, errs.Is(got.err, ErrNoResponse))
	assert.Assert(t, !work.IsRefusal(got.err))
	assert.DeepEqual(t, b.lost, []string{"c-1"})
	assert.Assert(t, !b.client.Available("c-1"))
	b.now += carrierRest
	assert.Assert(t, b.client.Available("c-1"))
}

// TestSilentCarrierIsLost has a carrier take orders and never answer.
func TestSilentCarrierIsLost(t *testing.T) {
	b := newBench(t)
	b.serve("c-1", Targets{Stop: func(ctx context.Context, _ work.Worker, _ work.RunRequest) (work.RunResponse, error) {
		<-ctx.Done()
		time.Sleep(time.Hour)
		return work.RunResponse{}, nil
	}})
	outcomes := []*outcome{b.send("c-1", stopOrder()), b.send("c-1", stopOrder()), b.send("c-1", stopOrder())}
	b.now += time.Second + answerMargin - 1
	b.client.Expire()
	assert.Assert(t, !outcomes[0].known, "the time is not over")
	b.now += expirePeriod
	b.client.Expire()
	for _, got := range outcomes {
		assert.Assert(t, got.known && errs.Is(got.err, ErrNoResponse))
	}
	assert.Assert(t, !b.client.Available("c-1"))
}

// TestSilentWorkerKeepsItsCarrier loses one answer: the worker may be down.
func TestSilentWorkerKeepsItsCarrier(t *testing.T) {
	b := newBench(t)
	b.serve("c-1", Targets{Stop: func(context.Context, work.Worker, work.RunRequest) (work.RunResponse, error) {
		time.Sleep(time.Hour)
		return work.RunResponse{}, nil
	}})
	got := b.send("c-1", stopOrder())
	b.now += time.Second + answerMargin
	b.client.Expire()
	assert.Assert(t, got.known && errs.Is(got.err, ErrNoResponse))
	assert.Assert(t, b.client.Available("c-1"))
}

// TestLeavingCarrier refuses orders without carrying them out.
func TestLeavingCarrier(t *testing.T) {
	b := newBench(t)
	b.serve("c-1", Targets{}).Leaving = func() bool { return true }
	got := b.send("c-1", stopOrder())
	b.run(t, func() bool { return got.known })
	assert.Assert(t, errs.Is(got.err, work.ErrNotSent))
	assert.Assert(t, work.IsRefusal(got.err))
	assert.Assert(t, !b.client.Available("c-1"))
}
