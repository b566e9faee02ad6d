package connlimit

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"turmericspread.org/turmericspread/internal/event"
)

// Group is the connections of one listener.
type Group struct {
	// OnClosed, if set, is called with the reason and the number of connections that were
	// refused or closed for it since the last such call, at most once per reportInterval
	// and reason.
	OnClosed func(group, reason string, n int64)

	name    string
	bounds  Bounds
	mu      sync.Mutex
	freed   sync.Cond // signals that bytes were released or a connection was evicted
	conns   map[*Conn]struct{}
	bytes   int64 // reserved by all connections
	going   int64 // part of bytes that evicted connections are about to release
	reasons map[string]*reasonCount
}

// reasonCount counts the connections that were closed for a reason.
type reasonCount struct {
	total, reported int64
	reportedAt      time.Time
}

// reportInterval bounds the log lines about closed connections.
const reportInterval = 10 * time.Second

// maxWait bounds the wait for evicted connections to release what they hold. They do so when
// their read returns; the goroutine that would read for a peer may be at work elsewhere.
const maxWait = time.Second

// NewGroup returns a group without connections.
func NewGroup(name string, bounds Bounds) *Group {
	g := &Group{name: name, bounds: bounds, conns: map[*Conn]struct{}{}, reasons: map[string]*reasonCount{}}
	g.freed.L = &g.mu
	return g
}

// NewLoggedGroup is NewGroup with a log event for connections that were closed or refused.
func NewLoggedGroup(name string, bounds Bounds, log zerolog.Logger) *Group {
	g := NewGroup(name, bounds)
	g.OnClosed = func(group, reason string, n int64) {
		event.ConnectionsClosed.Log(log).Str("listener", group).Str("reason", reason).Int64("connections", n).Send()
	}
	return g
}

// Target is a connection as the group closes it.
type Target interface {
	// CloseNow closes the connection without a response.
	CloseNow()
	// Interrupt ends a read that is in progress, so that the connection finds itself
	// evicted, releases what it holds and responds.
	Interrupt()
}

// Conn is the entry of a connection in its group.
type Conn struct {
	group  *Group
	target Target
	state  atomic.Int32
	last   atomic.Int64 // Unix nanoseconds when it last sent anything
	served atomic.Bool
	held   int64 // guarded by group.mu
}

// Add adds a connection to the group. If the group is full, it closes another one, or returns
// nil if no other may be closed.
func (g *Group) Add(target Target) *Conn {
	c := &Conn{group: g, target: target}
	c.last.Store(time.Now().UnixNano())
	g.mu.Lock()
	defer g.mu.Unlock()
	if over := len(g.conns) + 1 - g.bounds.Connections; over > 0 && !g.evict(nil, 0, 0, over, false) {
		g.count("refused")
		return nil
	}
	g.conns[c] = struct{}{}
	return c
}

// evict closes connections to free bytes or a number of connections. If self asks for n more
// bytes and holds so much that it comes first, it closes none and returns false, unless self
// is spared. The caller holds the lock.
func (g *Group) evict(self *Conn, n, bytes int64, connections int, spareSelf bool) (evictedAny bool) {
	now := time.Now().UnixNano()
	conns, loads := make([]*Conn, 0, len(g.conns)), make([]Load, 0, len(g.conns))
	for c := range g.conns {
		state, held := State(c.state.Load()), c.held
		if c == self {
			state, held = Reading, held+n
		}
		if state != evicted && (c != self || !spareSelf) {
			conns = append(conns, c)
			loads = append(loads, Load{state, held, time.Duration(now - c.last.Load()), c.served.Load()})
		}
	}
	for _, i := range Victims(loads, bytes, connections) {
		if conns[i] == self {
			break
		}
		evictedAny = true
		if conns[i].state.CompareAndSwap(int32(loads[i].State), int32(evicted)) {
			g.closeEvicted(conns[i], loads[i].State, bytes > 0)
		} // else it has gone on meanwhile, and the caller checks again
	}
	g.freed.Broadcast()
	return evictedAny
}

// closeEvicted closes a connection. One that is in the middle of a request does it itself.
func (g *Group) closeEvicted(c *Conn, state State, forBytes bool) {
	g.going += c.held
	if forBytes && state == Reading {
		g.count("memory")
		c.target.Interrupt()
		return
	}
	g.count("connections")
	delete(g.conns, c) // its place is free, its bytes follow
	c.target.CloseNow()
}

// Reserve reserves bytes for a connection that is Reading. If they are not available, it
// closes other connections and waits until these have released theirs. It fails if this
// connection has to give way.
func (c *Conn) Reserve(n int64) (err error) { return c.reserve(n, false) }

// ReserveWhole is like Reserve for a request that has been read whole. It gives way only to
// requests that are being served, not to those of which a part is missing.
func (c *Conn) ReserveWhole(n int64) (err error) { return c.reserve(n, true) }

func (c *Conn) reserve(n int64, whole bool) (err error) {
	g := c.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.bytes+n > g.bounds.Bytes {
		defer time.AfterFunc(maxWait, g.freed.Broadcast).Stop()
	}
	start := time.Now()
	for g.bytes+n > g.bounds.Bytes {
		need := g.bytes - g.going + n - g.bounds.Bytes
		late := time.Since(start) >= maxWait
		if late || c.Evicted() || c.held+n > g.bounds.Bytes || need > 0 && !g.evict(c, n, need, 0, whole) {
			g.count("memory")
			return ErrFull.New("%s", g.name)
		}
		if g.bytes+n > g.bounds.Bytes && g.going > 0 {
			g.freed.Wait()
		}
	}
	if c.Evicted() { // it must not hold more than it is known to release
		return ErrFull.New("%s", g.name)
	}
	g.bytes += n
	c.held += n
	return nil
}

// Release returns reserved bytes to the group.
func (c *Conn) Release(n int64) {
	g := c.group
	g.mu.Lock()
	defer g.mu.Unlock()
	c.release(n)
}

func (c *Conn) release(n int64) {
	n = min(n, c.held)
	c.held -= n
	c.group.bytes -= n
	if c.Evicted() {
		c.group.going -= n
	}
	c.group.freed.Broadcast()
}

// Remove removes the connection and its reservations from the group.
func (c *Conn) Remove() {
	g := c.group
	g.mu.Lock()
	defer g.mu.Unlock()
	c.release(c.held)
	delete(g.conns, c)
}

// Sent records that the connection sent something at the given time.
func (c *Conn) Sent(now time.Time) { c.last.Store(now.UnixNano()) }

// Evicted reports whether the connection has to give way.
func (c *Conn) Evicted() bool { return State(c.state.Load()) == evicted }

// SetState changes the state of the connection unless it was evicted.
func (c *Conn) SetState(next State) (ok bool) {
	for {
		old := c.state.Load()
		if State(old) == evicted {
			return false
		}
		if c.state.CompareAndSwap(old, int32(next)) {
			break
		}
	}
	if next == Serving && !c.served.Load() {
		c.served.Store(true)
	}
	return true
}

// Count counts a connection that its server closes for a reason of its own.
func (g *Group) Count(reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count(reason)
}

func (g *Group) count(reason string) {
	r := g.reasons[reason]
	if r == nil {
		r = &reasonCount{}
		g.reasons[reason] = r
	}
	r.total++
	if now := time.Now(); g.OnClosed != nil && now.Sub(r.reportedAt) >= reportInterval {
		g.OnClosed(g.name, reason, r.total-r.reported)
		r.reported, r.reportedAt = r.total, now
	}
}

// Open returns the number of open connections and the reserved bytes.
func (g *Group) Open() (connections int, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns), g.bytes
}

// WriteMetrics writes the metrics of the group.
func (g *Group) WriteMetrics(w io.Writer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, _ = fmt.Fprintf(w, "turmericspread_connections_open{listener=%q} %d\n", g.name, len(g.conns))
	_, _ = fmt.Fprintf(w, "turmericspread_connections_buffered_bytes{listener=%q} %d\n", g.name, g.bytes)
	names := make([]string, 0, len(g.reasons))
	for reason := range g.reasons {
		names = append(names, reason)
	}
	slices.Sort(names)
	for _, reason := range names {
		_, _ = fmt.Fprintf(w, "turmericspread_connections_closed_total{listener=%q,reason=%q} %d\n", g.name, reason, g.reasons[reason].total)
	}
}
