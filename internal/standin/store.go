package standin

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"turmericspread.org/turmericspread/internal/httpserve"
	"turmericspread.org/turmericspread/internal/store"
)

// StoreFault is how the store stand-in misbehaves.
type StoreFault struct {
	Down        bool    `json:"down"`
	SlowMS      int64   `json:"slow-ms"`
	LoseAnswers float64 `json:"lose-answers"` // fraction of writes whose answer is lost
}

// StoreStats counts the calls that the store stand-in took.
type StoreStats struct {
	Reads   int64            `json:"reads"`
	Watches int64            `json:"watches"`
	Writes  int64            `json:"writes"`
	ByKey   map[string]int64 `json:"writes-by-prefix"`
}

type lease struct {
	keys    []string
	expires time.Time
}

// Store stands in for the platform's key-value service.
type Store struct {
	mu       sync.Mutex
	revision int64
	entries  map[string]store.Entry
	leases   map[int64]*lease
	changed  chan struct{}
	fault    StoreFault
	stats    StoreStats
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		entries: map[string]store.Entry{},
		leases:  map[int64]*lease{},
		changed: make(chan struct{}),
		stats:   StoreStats{ByKey: map[string]int64{}},
	}
}

// Routes registers the store's handlers on srv.
func (s *Store) Routes(srv *server.Hertz) {
	srv.GET("/v1/kv", s.handleGet)
	srv.PUT("/v1/kv", s.handlePut)
	srv.DELETE("/v1/kv", s.handlePut)
	srv.GET("/v1/watch", s.handleWatch)
	srv.POST("/v1/lease", s.handleLease)
	srv.GET("/v1/stats", func(_ context.Context, c *app.RequestContext) { httpserve.JSON(c, 200, s.Stats()) })
	srv.POST("/v1/fault", s.handleFault)
}

// Stats returns the calls counted so far.
func (s *Store) Stats() StoreStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.ByKey = map[string]int64{}
	for key, n := range s.stats.ByKey {
		stats.ByKey[key] = n
	}
	return stats
}

// SetFault makes the store misbehave from now on.
func (s *Store) SetFault(fault StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.wake()
}

func (s *Store) handleFault(_ context.Context, c *app.RequestContext) {
	var fault StoreFault
	if err := httpserve.Decode(c, &fault); err != nil {
		c.SetStatusCode(400)
		return
	}
	s.SetFault(fault)
}

// delayed waits out the configured slowness and reports whether the store is up.
func (s *Store) delayed() bool {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	time.Sleep(time.Duration(fault.SlowMS) * time.Millisecond)
	return !fault.Down
}

func (s *Store) handleGet(_ context.Context, c *app.RequestContext) {
	if !s.delayed() {
		c.SetStatusCode(503)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Reads++
	s.expire(time.Now())
	if key := c.Query("key"); key != "" {
		entry := s.entries[key]
		if entry.Deleted {
			entry = store.Entry{}
		}
		entry.Key = key
		httpserve.JSON(c, 200, entry)
		return
	}
	httpserve.JSON(c, 200, s.since(c.Query("prefix"), -1))
}

// since lists the entries under prefix that changed after revision; deleted
// entries are listed only to watchers, which pass a revision of at least 0.
func (s *Store) since(prefix string, revision int64) (answer store.Answer) {
	answer.Revision = s.revision
	for key, entry := range s.entries {
		if !strings.HasPrefix(key, prefix) || entry.Revision <= revision {
			continue
		}
		if entry.Deleted && revision < 0 {
			continue
		}
		answer.Entries = append(answer.Entries, entry)
	}
	slices.SortFunc(answer.Entries, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
	return answer
}

func (s *Store) handlePut(_ context.Context, c *app.RequestContext) {
	if !s.delayed() {
		c.SetStatusCode(503)
		return
	}
	revision, err := strconv.ParseInt(c.Query("if-revision"), 10, 64)
	if err != nil || len(c.Request.Body()) > store.MaxValueBytes {
		c.SetStatusCode(400)
		return
	}
	newRevision, ok := s.put(c.Query("key"), slices.Clone(c.Request.Body()), revision, string(c.Method()) == "DELETE")
	s.mu.Lock()
	lost := rand.Float64() < s.fault.LoseAnswers
	s.mu.Unlock()
	switch {
	case lost:
		c.SetStatusCode(504)
	case !ok:
		c.SetStatusCode(409)
	default:
		s.attach(c.Query("lease"), c.Query("key"))
		httpserve.JSON(c, 200, struct {
			Revision int64 `json:"revision"`
		}{newRevision})
	}
}

func (s *Store) put(key string, value []byte, revision int64, remove bool) (newRevision int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Writes++
	s.stats.ByKey[topOf(key)]++
	s.expire(time.Now())
	current := s.entries[key]
	if current.Deleted {
		current.Revision = 0
	}
	if current.Revision != revision {
		return 0, false
	}
	s.revision++
	s.entries[key] = store.Entry{Key: key, Value: value, Revision: s.revision, Deleted: remove}
	s.wake()
	return s.revision, true
}

func topOf(key string) string {
	const depth = 2
	parts := strings.SplitN(key, "/", depth+1)
	return strings.Join(parts[:min(depth, len(parts))], "/")
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) handleWatch(ctx context.Context, c *app.RequestContext) {
	after, err := strconv.ParseInt(c.Query("after"), 10, 64)
	holdMS, err2 := strconv.ParseInt(c.Query("hold-ms"), 10, 64)
	if err != nil || err2 != nil {
		c.SetStatusCode(400)
		return
	}
	hold := time.NewTimer(time.Duration(holdMS) * time.Millisecond)
	defer hold.Stop()
	s.mu.Lock()
	s.stats.Watches++
	s.mu.Unlock()
	for held := false; ; {
		if !s.delayed() {
			c.SetStatusCode(503)
			return
		}
		s.mu.Lock()
		s.expire(time.Now())
		answer, changed := s.since(c.Query("prefix"), after), s.changed
		s.mu.Unlock()
		if len(answer.Entries) > 0 || held {
			httpserve.JSON(c, 200, answer)
			return
		}
		select {
		case <-changed:
		case <-hold.C:
			held = true
		case <-ctx.Done():
			return
		}
	}
}

// handleLease creates a lease, or renews the lease named by id.
func (s *Store) handleLease(_ context.Context, c *app.RequestContext) {
	ttl, err := strconv.ParseInt(c.Query("ttl-ms"), 10, 64)
	if err != nil || !s.delayed() {
		c.SetStatusCode(503)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Writes++
	s.expire(time.Now())
	id, _ := strconv.ParseInt(c.Query("id"), 10, 64)
	held, ok := s.leases[id]
	if id != 0 && !ok {
		c.SetStatusCode(410)
		return
	}
	if !ok {
		s.revision++
		id, held = s.revision, &lease{}
		s.leases[id] = held
	}
	held.expires = time.Now().Add(time.Duration(ttl) * time.Millisecond)
	httpserve.JSON(c, 200, struct {
		ID int64 `json:"id"`
	}{id})
}

func (s *Store) attach(leaseID, key string) {
	id, _ := strconv.ParseInt(leaseID, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if held, ok := s.leases[id]; ok {
		held.keys = append(held.keys, key)
	}
}

// expire deletes the keys of leases that ended.
func (s *Store) expire(now time.Time) {
	for id, held := range s.leases {
		if now.Before(held.expires) {
			continue
		}
		delete(s.leases, id)
		for _, key := range held.keys {
			s.revision++
			s.entries[key] = store.Entry{Key: key, Revision: s.revision, Deleted: true}
		}
		s.wake()
	}
}
