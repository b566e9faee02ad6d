package halfopen

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/halfopen/halfopentest"
)

const idlePerPeer = 8

// bench is a client of servers over connections that can go silent.
type bench struct {
	dialer    halfopentest.Dialer
	transport *Transport
	client    *http.Client
}

func newBench() *bench {
	b := &bench{}
	b.transport = NewTransport(b.dialer.Dial, func(dial Dial) *http.Transport {
		return &http.Transport{DialContext: dial, MaxIdleConnsPerHost: idlePerPeer}
	})
	b.client = &http.Client{Transport: b.transport}
	return b
}

// serve starts a server and returns its address.
func serve(t *testing.T, handler http.HandlerFunc) (address string) {
	srv := httptest.NewServer(handler)
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// call makes a call and reports whether it was answered in time.
func (b *bench) call(address string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", strings.NewReader("x"))
	if err != nil {
		return false
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.Body.Close() == nil
}

// fill leaves as many idle connections to a server as its pool keeps. The server must answer
// only when all calls have arrived.
func (b *bench) fill(t *testing.T, address string) {
	t.Helper()
	var calls sync.WaitGroup
	for range idlePerPeer {
		calls.Go(func() { assert.Check(t, b.call(address, 5*time.Second)) })
	}
	calls.Wait()
}

// together answers calls once n of them have arrived, and later ones at once.
func together(n int64, then http.HandlerFunc) http.HandlerFunc {
	var arrived atomic.Int64
	all := make(chan struct{})
	return func(w http.ResponseWriter, r *http.Request) {
		switch i := arrived.Add(1); {
		case i == n:
			close(all)
		case i > n:
			then(w, r)
			return
		}
		<-all
	}
}

func answer(http.ResponseWriter, *http.Request) {}

// TestSilentConnections guards against calls that wait on one silent connection after the
// other: the next call after the first one without an answer must get through.
func TestSilentConnections(t *testing.T) {
	const timeout = 200 * time.Millisecond
	b := newBench()
	var silenced atomic.Int64
	b.transport.OnSilent = func(_ string, closed int) { silenced.Add(int64(closed)) }
	address, other := serve(t, together(idlePerPeer, answer)), serve(t, together(idlePerPeer, answer))
	for round := range 3 {
		if round == 0 {
			b.fill(t, address)
			b.fill(t, other)
		}
		b.dialer.Silence(address)
		assert.Assert(t, !b.call(address, timeout))
		for range 3 {
			assert.Assert(t, b.call(address, timeout), "round %d", round)
		}
		assert.Equal(t, b.dialer.Open(address), 1, "silent connections must be closed")
		assert.Equal(t, b.dialer.Opened(address), idlePerPeer+round+1)
	}
	assert.Equal(t, silenced.Load(), int64(idlePerPeer-1))
	assert.Equal(t, b.transport.Counters.Silent.Load(), int64(idlePerPeer-1))
	assert.Equal(t, b.dialer.Open(other), idlePerPeer, "connections to other peers must stay open")
	assert.Assert(t, b.call(other, timeout))
	assert.Equal(t, b.dialer.Opened(other), idlePerPeer)
}

// TestSlowPeer guards against a new connection for each call to a peer that is slow or
// suspended, and against closing its other connections.
func TestSlowPeer(t *testing.T) {
	const timeout, calls = 50 * time.Millisecond, 8
	b := newBench()
	var slow atomic.Bool
	address := serve(t, together(idlePerPeer, func(_ http.ResponseWriter, r *http.Request) {
		if slow.Load() {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}
	}))
	b.fill(t, address)
	slow.Store(true)
	for range calls {
		assert.Assert(t, !b.call(address, timeout))
	}
	assert.Equal(t, b.dialer.Opened(address)-idlePerPeer, calls/2)
	assert.Equal(t, b.dialer.Open(address), idlePerPeer-calls/2, "only the connections of calls without an answer are lost")
	slow.Store(false)
	for range calls {
		assert.Assert(t, b.call(address, time.Second))
	}
	assert.Equal(t, b.dialer.Opened(address)-idlePerPeer, calls/2)
}

// TestOpenCallsStay guards against calls that are broken off because the idle connections to
// their peer are closed.
func TestOpenCallsStay(t *testing.T) {
	b := newBench()
	wait, hang := make(chan struct{}), atomic.Bool{}
	address := serve(t, together(idlePerPeer, func(_ http.ResponseWriter, r *http.Request) {
		switch {
		case r.Header.Get("Wait") != "":
			<-wait
		case hang.Load():
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}
	}))
	release := sync.OnceFunc(func() { close(wait) })
	t.Cleanup(release)
	b.fill(t, address)
	waiting := make(chan error, 1)
	go func() {
		req, err := http.NewRequest(http.MethodPost, "http://"+address+"/", nil)
		if err == nil {
			req.Header.Set("Wait", "yes")
			var resp *http.Response
			if resp, err = b.client.Do(req); err == nil {
				err = resp.Body.Close()
			}
		}
		waiting <- err
	}()
	time.Sleep(50 * time.Millisecond)
	hang.Store(true)
	assert.Assert(t, !b.call(address, 50*time.Millisecond))
	hang.Store(false)
	assert.Assert(t, b.call(address, time.Second))
	assert.Equal(t, b.dialer.Open(address), 2, "that of the call that waits, and the new one")
	release()
	assert.NilError(t, <-waiting)
	for range 20 {
		if b.dialer.Open(address) == 1 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, b.dialer.Open(address), 1, "a connection of the former pool is closed when its call has ended")
}

// TestNoCallIsLostOrRepeated makes calls while connections go silent and pools change. It guards
// against calls that fail because their connection is closed as idle, and against calls that the
// server receives twice.
func TestNoCallIsLostOrRepeated(t *testing.T) {
	const callers, timeout = 8, 250 * time.Millisecond
	b := newBench()
	var received sync.Map
	address := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		_, again := received.LoadOrStore(r.Header.Get("Call"), true)
		assert.Check(t, !again)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var calls sync.WaitGroup
	var number atomic.Int64
	for range callers {
		calls.Go(func() {
			for ctx.Err() == nil {
				callCtx, cancel := context.WithTimeout(context.Background(), timeout)
				req, err := http.NewRequestWithContext(callCtx, http.MethodPost, "http://"+address+"/", strings.NewReader("x"))
				assert.Check(t, err)
				req.Header.Set("Call", time.Duration(number.Add(1)).String())
				resp, err := b.client.Do(req)
				if err == nil {
					_ = resp.Body.Close()
				}
				assert.Check(t, err == nil || Unanswered(callCtx, err), "%v", err)
				cancel()
			}
		})
	}
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		b.dialer.Silence(address)
	}
	calls.Wait()
}
