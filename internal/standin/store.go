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

// StoreFault describes the faults that the stand-in for the store simulates.
type StoreFault struct {
	Down        bool    `json:"down"`         // reject every call
	SlowMS      int64   `json:"slow-ms"`      // delay of every call
	LoseAnswers float64 `json:"lose-answers"` // fraction of writes whose response is lost
}

// StoreStats holds the counters of the stand-in for the store.
type StoreStats struct {
	Reads          int64            `json:"reads"`
	Watches        int64            `json:"watches"`
	Writes         int64            `json:"writes"`
	WritesByPrefix map[string]int64 `json:"writes-by-prefix"`
}

// lease is a lease with the keys that are deleted when it expires.
type lease struct {
	keys    []string
	expires time.Time
}

// Store is a stand-in for the platform's key-value service. It keeps deleted entries
// so that watches can report them.
type Store struct {
	mu       sync.Mutex
	revision int64
	entries  map[string]store.Entry
	leases   map[int64]*lease
	changed  chan struct{} // closed and replaced at each change
	fault    StoreFault
	stats    StoreStats
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		entries: map[string]store.Entry{},
		leases:  map[int64]*lease{},
		changed: make(chan struct{}),
		stats:   StoreStats{WritesByPrefix: map[string]int64{}},
	}
}

// Routes registers the handlers of the store on srv.
func (s *Store) Routes(srv *server.Hertz) {
	srv.GET("/v1/kv", s.handleGet)
	srv.PUT("/v1/kv", s.handlePut)
	srv.DELETE("/v1/kv", s.handlePut)
	srv.GET("/v1/watch", s.handleWatch)
	srv.POST("/v1/lease", s.handleLease)
	srv.GET("/v1/stats", func(_ context.Context, c *app.RequestContext) { httpserve.JSON(c, 200, s.Stats()) })
	srv.POST("/v1/fault", s.handleFault)
}

// Stats returns a copy of the counters.
func (s *Store) Stats() StoreStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.WritesByPrefix = map[string]int64{}
	for key, n := range s.stats.WritesByPrefix {
		stats.WritesByPrefix[key] = n
	}
	return stats
}

// SetFault replaces the simulated faults. Waiting watches also observe the change.
func (s *Store) SetFault(fault StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.notifyWatchers()
}

func (s *Store) handleFault(_ context.Context, c *app.RequestContext) {
	var fault StoreFault
	if err := httpserve.Decode(c, &fault); err != nil {
		c.SetStatusCode(400)
		return
	}
	s.SetFault(fault)
}

// available waits for the simulated delay and reports whether the store is up.
func (s *Store) available() bool {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	time.Sleep(time.Duration(fault.SlowMS) * time.Millisecond)
	return !fault.Down
}

// handleGet responds with the entry of a key, or with all entries under a prefix.
func (s *Store) handleGet(_ context.Context, c *app.RequestContext) {
	if !s.available() {
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
	httpserve.JSON(c, 200, s.changedSince(c.Query("prefix"), -1))
}

// changedSince returns the entries under prefix that changed after revision. A
// negative revision selects all entries that exist. Deleted entries are included
// only for watches, whose revision is at least 0.
func (s *Store) changedSince(prefix string, revision int64) (answer store.Answer) {
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

// handlePut handles conditional writes and deletions. It simulates a lost response
// with status 504 after the write was processed.
func (s *Store) handlePut(_ context.Context, c *app.RequestContext) {
	if !s.available() {
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
		s.attachToLease(c.Query("lease"), c.Query("key"))
		httpserve.JSON(c, 200, struct {
			Revision int64 `json:"revision"`
		}{newRevision})
	}
}

// put writes or removes key if it has the given revision. It reports false on a
// conflict.
func (s *Store) put(key string, value []byte, revision int64, remove bool) (newRevision int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Writes++
	s.stats.WritesByPrefix[keyPrefix(key)]++
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
	s.notifyWatchers()
	return s.revision, true
}

// keyPrefix returns the first two elements of a key, for the counters.
func keyPrefix(key string) string {
	const depth = 2
	parts := strings.SplitN(key, "/", depth+1)
	return strings.Join(parts[:min(depth, len(parts))], "/")
}

// notifyWatchers wakes all waiting watches. The caller holds s.mu.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// handleWatch responds once an entry under the prefix has changed, or with an empty
// list after the time in hold-ms.
func (s *Store) handleWatch(ctx context.Context, c *app.RequestContext) {
	after, err := strconv.ParseInt(c.Query("after"), 10, 64)
	waitMS, err2 := strconv.ParseInt(c.Query("hold-ms"), 10, 64)
	if err != nil || err2 != nil {
		c.SetStatusCode(400)
		return
	}
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	s.stats.Watches++
	s.mu.Unlock()
	for timedOut := false; ; {
		if !s.available() {
			c.SetStatusCode(503)
			return
		}
		s.mu.Lock()
		s.expire(time.Now())
		answer, changed := s.changedSince(c.Query("prefix"), after), s.changed
		s.mu.Unlock()
		if len(answer.Entries) > 0 || timedOut {
			httpserve.JSON(c, 200, answer)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
			return
		}
	}
}

// handleLease creates a lease, or renews the lease named by id.
func (s *Store) handleLease(_ context.Context, c *app.RequestContext) {
	ttl, err := strconv.ParseInt(c.Query("ttl-ms"), 10, 64)
	if err != nil || !s.available() {
		c.SetStatusCode(503)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Writes++
	s.expire(time.Now())
	id, _ := strconv.ParseInt(c.Query("id"), 10, 64)
	record, ok := s.leases[id]
	if id != 0 && !ok {
		c.SetStatusCode(410)
		return
	}
	if !ok {
		s.revision++
		id, record = s.revision, &lease{}
		s.leases[id] = record
	}
	record.expires = time.Now().Add(time.Duration(ttl) * time.Millisecond)
	httpserve.JSON(c, 200, struct {
		ID int64 `json:"id"`
	}{id})
}

// attachToLease makes key expire with the lease. It ignores an unknown lease.
func (s *Store) attachToLease(leaseID, key string) {
	id, _ := strconv.ParseInt(leaseID, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if record, ok := s.leases[id]; ok {
		record.keys = append(record.keys, key)
	}
}

// expire deletes the keys of expired leases. The caller holds s.mu.
func (s *Store) expire(now time.Time) {
	for id, record := range s.leases {
		if now.Before(record.expires) {
			continue
		}
		delete(s.leases, id)
		for _, key := range record.keys {
			s.revision++
			s.entries[key] = store.Entry{Key: key, Revision: s.revision, Deleted: true}
		}
		s.notifyWatchers()
	}
}
