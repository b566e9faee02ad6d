package standin

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"turmericspread.org/turmericspread/internal/httpserve"
	"turmericspread.org/turmericspread/internal/minion"
)

// MinionStats holds the counters of one minion. Each refused or repeated request is
// a fault of the scheduler.
type MinionStats struct {
	Name               string `json:"name"`
	Served             int64  `json:"served"`
	RefusedSlots       int64  `json:"refused-above-slots"`
	RefusedConnections int64  `json:"refused-above-connections"`
	RepeatedRequests   int64  `json:"repeated-requests"`
	PeakBusy           int64  `json:"peak-busy"`
	PeakConnections    int64  `json:"peak-connections"`
}

// Minion is a stand-in for one minion, a back-end server that answers requests.
type Minion struct {
	Name        string
	Slots       int64
	Connections int64
	// Leaving is the value that the minion reports in its status.
	Leaving atomic.Bool

	busy  atomic.Int64 // requests in progress
	open  atomic.Int64 // open connections
	mu    sync.Mutex
	stats MinionStats
	ran   map[string]bool // IDs of the requests that were run
}

// NewMinion returns a minion with the given limits.
func NewMinion(name string, slots, connections int) *Minion {
	return &Minion{Name: name, Slots: int64(slots), Connections: int64(connections), ran: map[string]bool{}}
}

// Routes registers the handlers of the minion on srv.
func (m *Minion) Routes(srv *server.Hertz) {
	srv.POST("/v1/minions/:name/serve/:route", m.handleServe)
	srv.GET("/v1/minions/:name/status", m.handleStatus)
	srv.GET("/v1/stats", func(_ context.Context, c *app.RequestContext) { httpserve.JSON(c, 200, m.Stats()) })
}

// Stats returns a copy of the counters.
func (m *Minion) Stats() MinionStats {
	m.mu.Lock()
	defer m.mu.Unlock()
	stats := m.stats
	stats.Name = m.Name
	return stats
}

// HasRun reports whether the minion ran the request with the given ID.
func (m *Minion) HasRun(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ran[id]
}

func (m *Minion) handleStatus(_ context.Context, c *app.RequestContext) {
	httpserve.JSON(c, 200, minion.Status{Name: m.Name, Busy: int(m.busy.Load()), Leaving: m.Leaving.Load()})
}

// handleServe runs a request if a slot is free. If the body is a Work, its SleepMS and
// Fail determine the duration and the status. The answer contains the body.
func (m *Minion) handleServe(_ context.Context, c *app.RequestContext) {
	if c.Param("name") != m.Name {
		c.SetStatusCode(404)
		return
	}
	busy := m.busy.Add(1)
	defer m.busy.Add(-1)
	id := c.Request.Header.Get(minion.HeaderRequestID)
	c.Response.Header.Set(minion.HeaderRequestID, id)
	if busy > m.Slots {
		m.count(func(s *MinionStats) { s.RefusedSlots++ })
		c.Response.Header.Set(minion.HeaderRefused, "slots")
		c.SetStatusCode(503)
		return
	}
	m.mu.Lock()
	m.stats.Served++
	m.stats.PeakBusy = max(m.stats.PeakBusy, busy)
	if m.ran[id] {
		m.stats.RepeatedRequests++
	}
	m.ran[id] = true
	m.mu.Unlock()
	var work Work
	body := c.Request.Body()
	_ = json.Unmarshal(body, &work)
	time.Sleep(time.Duration(work.SleepMS) * time.Millisecond)
	status := 200
	if work.Fail {
		status = 500
	}
	httpserve.JSON(c, status, struct {
		Minion  string          `json:"minion"`
		Route   string          `json:"route"`
		Request json.RawMessage `json:"request,omitempty"`
	}{m.Name, c.Param("route"), jsonOrString(body)})
}

// jsonOrString returns body if it is valid JSON, and otherwise body as a JSON string.
func jsonOrString(body []byte) json.RawMessage {
	if json.Valid(body) {
		return append(json.RawMessage{}, body...)
	}
	quoted, _ := json.Marshal(string(body))
	return quoted
}

// count changes the counters with edit.
func (m *Minion) count(edit func(*MinionStats)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	edit(&m.stats)
}

// Listener returns a listener that counts the connections to the minion and closes
// those above its limit.
func (m *Minion) Listener(inner net.Listener) net.Listener {
	return &countingListener{Listener: inner, minion: m}
}

type countingListener struct {
	net.Listener
	minion *Minion
}

// Accept returns the next connection within the limit.
func (l *countingListener) Accept() (conn net.Conn, err error) {
	for {
		conn, err = l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		open := l.minion.open.Add(1)
		if open <= l.minion.Connections {
			l.minion.count(func(s *MinionStats) { s.PeakConnections = max(s.PeakConnections, open) })
			return &countedConn{Conn: conn, minion: l.minion}, nil
		}
		l.minion.open.Add(-1)
		l.minion.count(func(s *MinionStats) { s.RefusedConnections++ })
		_ = conn.Close()
	}
}

type countedConn struct {
	net.Conn
	minion *Minion
	once   sync.Once
}

// Close closes the connection and removes it from the count of open connections.
func (c *countedConn) Close() (err error) {
	c.once.Do(func() { c.minion.open.Add(-1) })
	return c.Conn.Close()
}
