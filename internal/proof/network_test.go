// Package proof runs whole cells of real entry processes in virtual time over
// a fake network and the platform's stand-ins, with faults, and checks what
// must always hold.
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
	errCut  = errors.New("proof: connection refused")
	errDead = errors.New("proof: process is dead")
)

// pollPeriod is how often something that waits for a pause or a cut looks again.
const pollPeriod = 20 * time.Millisecond

// network carries everything between the processes and the platform.
type network struct {
	mu        sync.Mutex
	rng       *rand.Rand
	engines   map[string]*server.Hertz // by address
	listeners map[string]*memListener  // by address
	nodes     map[string]*node         // by peer address
	cuts      map[[2]string]bool       // from, to: what is sent vanishes
	lateStore float64                  // fraction of store writes that arrive seconds late
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

// serve makes the handlers that routes registers answer at address.
func (n *network) serve(address string, routes func(*server.Hertz)) {
	srv := server.New(server.WithDisablePrintRoute(true), server.WithHostPorts("127.0.0.1:0"))
	routes(srv)
	n.engines[address] = srv
}

func (n *network) cut(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{from, to}] = on
}

func (n *network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]string{from, to}]
}

func (n *network) healAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
}

func (n *network) float() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64()
}

// delay waits as long as a message takes.
func (n *network) delay() {
	const least, spread = 200 * time.Microsecond, 2 * time.Millisecond
	time.Sleep(least + time.Duration(n.float()*float64(spread)))
}

// node is the place of one process in the network; a restarted process is
// another node at the same address.
type node struct {
	net     *network
	address string
	mu      sync.Mutex
	paused  time.Time
	dead    bool
	conns   []*memConn
}

func (p *node) pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = time.Now().Add(d)
}

func (p *node) state() (paused, dead bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.paused), p.dead
}

// gate waits while the process is paused.
func (p *node) gate() {
	for {
		paused, dead := p.state()
		if !paused || dead {
			return
		}
		time.Sleep(pollPeriod)
	}
}

func (p *node) kill() {
	p.mu.Lock()
	p.dead = true
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

// do sends a request to the platform's stand-in called target, which is what
// cuts name. The process may be paused right before it writes.
func (p *node) do(target string) func(req *http.Request) (*http.Response, error) {
	return func(req *http.Request) (*http.Response, error) {
		ctx := req.Context()
		p.gate()
		if _, dead := p.state(); dead {
			return nil, errDead
		}
		if p.net.isCut(p.address, target) {
			// A cut connection is silent: nothing comes back until the time-out.
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.GotConn != nil {
			trace.GotConn(httptrace.GotConnInfo{})
		}
		p.net.delay()
		answers := make(chan *http.Response, 1)
		go func() {
			if req.Method == http.MethodPut && p.net.float() < p.net.lateStore {
				const late = 8 * time.Second
				time.Sleep(time.Duration(p.net.float() * float64(late)))
			}
			answers <- p.net.perform(req) //nolint:bodyclose // the caller closes it
		}()
		select {
		case resp := <-answers:
			p.net.delay()
			if p.net.isCut(target, p.address) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			p.gate()
			if resp == nil {
				return nil, errCut
			}
			return resp, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// perform runs the handler of the stand-in at the request's address.
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

// listen opens the process's peer address.
func (p *node) listen(address string) (net.Listener, error) {
	l := &memListener{node: p, address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	p.net.listeners[address] = l
	return l, nil
}

// dial connects to the peer at address.
func (p *node) dial(ctx context.Context, address string) (net.Conn, error) {
	p.gate()
	p.net.delay()
	p.net.mu.Lock()
	l := p.net.listeners[address]
	p.net.mu.Unlock()
	if _, dead := p.state(); dead || l == nil {
		return nil, errCut
	}
	if p.net.isCut(p.address, address) || p.net.isCut(address, p.address) {
		const dialTimeout = time.Second
		select {
		case <-ctx.Done():
		case <-time.After(dialTimeout):
		}
		return nil, errCut
	}
	a, b := net.Pipe()
	near := p.wrap(a, address)
	far := l.node.wrap(b, p.address)
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		_ = near.Close()
		return nil, errCut
	case <-ctx.Done():
		_ = near.Close()
		return nil, ctx.Err()
	}
}

func (p *node) wrap(conn net.Conn, other string) *memConn {
	c := &memConn{Conn: conn, node: p, other: other, closed: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, c)
	if p.dead {
		_ = c.Close()
	}
	return c
}

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

// memConn is one end of a connection between two processes. It goes silent
// while the way to the other end is cut, and stands still while its process is paused.
type memConn struct {
	net.Conn
	node   *node
	other  string
	closed chan struct{}
	once   sync.Once
}

func (c *memConn) Write(p []byte) (int, error) {
	c.node.gate()
	for c.node.net.isCut(c.node.address, c.other) {
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		case <-time.After(pollPeriod):
		}
	}
	c.node.net.delay()
	return c.Conn.Write(p)
}

func (c *memConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.node.gate()
	return n, err
}

func (c *memConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
