// Package proof tests whole cells of entry processes in virtual time. The processes
// use a simulated network and the stand-ins for the platform. The tests inject faults
// and check the guarantees of the system.
//
// # Usage
//
//	go test ./internal/proof -run TestRandomised
//	go test ./internal/proof -run TestRandomised -args -seed=7 -seeds=100
package proof

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
)

var (
	errConnRefused   = errors.New("proof: connection refused")
	errProcessKilled = errors.New("proof: process was killed")
)

// pollInterval is the interval at which operations that wait for the end of a pause
// or a cut check whether they may continue.
const pollInterval = 20 * time.Millisecond

// network simulates the network between the processes and the platform.
type network struct {
	mu              sync.Mutex
	rng             *rand.Rand
	engines         map[string]*server.Hertz // by address
	listeners       map[string]*memListener  // by address
	nodes           map[string]*node         // by peer address
	cuts            map[[2]string]bool       // by sender and receiver: messages are lost
	lateStoreWrites float64                  // fraction of store writes that arrive up to 8 s late
}

func newNetwork(seed uint64) *network {
	return &network{
		rng:       rand.New(rand.NewPCG(seed, 2)),
		engines:   map[string]*server.Hertz{},
		listeners: map[string]*memListener{},
		nodes:     map[string]*node{},
		cuts:      map[[2]string]bool{},
	}
}

// serve makes the handlers registered by routes available at address.
func (n *network) serve(address string, routes func(*server.Hertz)) {
	srv := server.New(server.WithDisablePrintRoute(true), server.WithHostPorts("127.0.0.1:0"))
	routes(srv)
	n.engines[address] = srv
}

// setCut cuts or restores the network for messages in one direction.
func (n *network) setCut(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{from, to}] = on
}

func (n *network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]string{from, to}]
}

// removeCuts removes all cuts.
func (n *network) removeCuts() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
}

func (n *network) randomFloat() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64()
}

// delay waits for the simulated latency of one message.
func (n *network) delay() {
	const minDelay, jitter = 200 * time.Microsecond, 2 * time.Millisecond
	time.Sleep(minDelay + time.Duration(n.randomFloat()*float64(jitter)))
}

// node is the network interface of one process. A restarted process gets a new node
// with the same address.
type node struct {
	net         *network
	address     string
	mu          sync.Mutex
	pausedUntil time.Time
	killed      bool
	conns       []*memConn
}

// pause delays all network operations of the process for d.
func (p *node) pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pausedUntil = time.Now().Add(d)
}

func (p *node) state() (paused, killed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.pausedUntil), p.killed
}

// waitWhilePaused waits while the process is paused.
func (p *node) waitWhilePaused() {
	for {
		paused, killed := p.state()
		if !paused || killed {
			return
		}
		time.Sleep(pollInterval)
	}
}

// kill closes the listener and all connections of the process. Later operations fail.
func (p *node) kill() {
	p.mu.Lock()
	p.killed = true
	conns := p.conns
	p.mu.Unlock()
	p.net.mu.Lock()
	listener := p.net.listeners[p.address]
	delete(p.net.listeners, p.address)
	p.net.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
	for _, c := range conns {
		_ = c.Close()
	}
}

// roundTrip returns a function that sends a request to a stand-in for the platform.
// The target is the name that cuts use for the stand-in. A pause of the process may
// begin immediately before the request is written. A late write to the store is applied
// even if its caller no longer waits.
func (p *node) roundTrip(target string) func(req *http.Request) (*http.Response, error) {
	return func(req *http.Request) (*http.Response, error) {
		ctx := req.Context()
		p.waitWhilePaused()
		if _, killed := p.state(); killed {
			return nil, errProcessKilled
		}
		if p.net.isCut(p.address, target) {
			// Packets are dropped, so that the caller only notices its timeout.
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.GotConn != nil {
			trace.GotConn(httptrace.GotConnInfo{})
		}
		p.net.delay()
		responses := make(chan *http.Response, 1)
		go func() {
			if req.Method == http.MethodPut && p.net.randomFloat() < p.net.lateStoreWrites {
				const maxLateness = 8 * time.Second
				time.Sleep(time.Duration(p.net.randomFloat() * float64(maxLateness)))
			}
			responses <- p.net.perform(req) //nolint:bodyclose // the caller closes it
		}()
		select {
		case resp := <-responses:
			p.net.delay()
			if p.net.isCut(target, p.address) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			p.waitWhilePaused()
			if resp == nil {
				return nil, errConnRefused
			}
			return resp, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// perform calls the handler of the stand-in at the address in the request. It returns
// nil if there is no stand-in at that address.
func (n *network) perform(req *http.Request) *http.Response {
	srv, ok := n.engines[req.URL.Host]
	if !ok {
		return nil
	}
	var body []byte
	if req.Body != nil {
		body, _ = io.ReadAll(req.Body)
	}
	c := app.NewContext(8)
	c.Request.SetMethod(req.Method)
	c.Request.SetRequestURI(req.URL.RequestURI())
	c.Request.SetBody(body)
	for name := range req.Header {
		c.Request.Header.Set(name, req.Header.Get(name))
	}
	srv.ServeHTTP(context.Background(), c)
	header := http.Header{}
	c.Response.Header.VisitAll(func(key, value []byte) { header.Set(string(key), string(value)) })
	return &http.Response{
		StatusCode: c.Response.StatusCode(),
		Header:     header,
		Body:       io.NopCloser(bytes.NewReader(bytes.Clone(c.Response.Body()))),
	}
}

// listen opens the peer address of the process.
func (p *node) listen(address string) (net.Listener, error) {
	l := &memListener{node: p, address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	p.net.listeners[address] = l
	return l, nil
}

// dial connects to the peer at address. It times out if either direction is cut.
func (p *node) dial(ctx context.Context, address string) (net.Conn, error) {
	p.waitWhilePaused()
	p.net.delay()
	p.net.mu.Lock()
	l := p.net.listeners[address]
	p.net.mu.Unlock()
	if _, killed := p.state(); killed || l == nil {
		return nil, errConnRefused
	}
	if p.net.isCut(p.address, address) || p.net.isCut(address, p.address) {
		const dialTimeout = time.Second
		select {
		case <-ctx.Done():
		case <-time.After(dialTimeout):
		}
		return nil, errConnRefused
	}
	a, b := net.Pipe()
	local := p.newConn(a, address)
	remote := l.node.newConn(b, p.address)
	select {
	case l.conns <- remote:
		return local, nil
	case <-l.closed:
		_ = local.Close()
		return nil, errConnRefused
	case <-ctx.Done():
		_ = local.Close()
		return nil, ctx.Err()
	}
}

// newConn returns the process's end of a connection to remote, which kill closes.
func (p *node) newConn(conn net.Conn, remote string) *memConn {
	c := &memConn{Conn: conn, node: p, remote: remote, closed: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, c)
	if p.killed {
		_ = c.Close()
	}
	return c
}

// memListener is the listener of a process for connections from other processes.
type memListener struct {
	node    *node
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// memConn is one end of an in-memory connection between two processes. Writes block
// while the direction to the other end is cut. Reads and writes block while the
// process is paused.
type memConn struct {
	net.Conn
	node   *node
	remote string
	closed chan struct{}
	once   sync.Once
}

func (c *memConn) Write(p []byte) (int, error) {
	c.node.waitWhilePaused()
	for c.node.net.isCut(c.node.address, c.remote) {
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		case <-time.After(pollInterval):
		}
	}
	c.node.net.delay()
	return c.Conn.Write(p)
}

func (c *memConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.node.waitWhilePaused()
	return n, err
}

func (c *memConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
