package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the platform's store, from the users' pages.
const (
	storeLatency   = 4 * time.Millisecond
	storeHistory   = 20 * time.Second
	storePageItems = 500
	storePageBytes = 1 << 20
	maxTxnEntries  = 32
	writesPerS     = 400
	readsPerS      = 2000
)

// item is an item of the store, or a removal in its history.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`

	at time.Time
}

// store stands in for the platform's metadata store.
type store struct {
	rec     *recorder
	address string

	mu       sync.Mutex
	revision int64
	oldest   int64 // watches from before this revision get 410
	items    map[string]item
	keys     []string // of items, sorted
	history  []item
	changed  chan struct{} // closed and replaced at each write
	up       chan struct{} // closed when an outage ends; nil: the store is up
	window   time.Time     // start of the second in which calls are counted
	writes   int
	reads    int
}

func startStore(rec *recorder, ip string) (s *store, err error) {
	s = &store{rec: rec, revision: 1, items: map[string]item{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, s) }()
	return s, nil
}

// setDown begins or ends an outage in which the store gives no response and does nothing.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case down && s.up == nil:
		s.up = make(chan struct{})
	case !down && s.up != nil:
		close(s.up)
		s.up = nil
	}
	s.rec.say("store: down %v", down)
}

// put writes a key as the operator or a minion does.
func (s *store) put(key string, value any) {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, data)
}

func (s *store) write(key string, value []byte) {
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.items[key].Created, at: time.Now()}
	if it.Created == 0 {
		it.Created = s.revision
	}
	s.insert(it)
	s.record(it)
}

// insert stores an item. The caller holds the lock.
func (s *store) insert(it item) {
	if at, found := slices.BinarySearch(s.keys, it.Key); !found {
		s.keys = slices.Insert(s.keys, at, it.Key)
	}
	s.items[it.Key] = it
}

// remove removes a key. The caller holds the lock.
func (s *store) remove(key string) {
	if at, found := slices.BinarySearch(s.keys, key); found {
		s.keys = slices.Delete(s.keys, at, at+1)
	}
	delete(s.items, key)
}

func (s *store) record(it item) {
	s.history = append(s.history, it)
	for len(s.history) > 0 && time.Since(s.history[0].at) > storeHistory {
		s.oldest = s.history[0].Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// admit counts a call and reports whether it is within the rate.
func (s *store) admit(write bool) bool {
	if now := time.Now(); now.Sub(s.window) > time.Second {
		s.window, s.writes, s.reads = now, 0, 0
	}
	if write {
		s.writes++
		return s.writes <= writesPerS
	}
	s.reads++
	return s.reads <= readsPerS
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := r.Method + " " + r.URL.Path
	query := r.URL.Query()
	s.mu.Lock()
	up := s.up
	admitted := up != nil || s.admit(call == names.Write)
	s.mu.Unlock()
	if up != nil {
		select {
		case <-up:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	if !admitted {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	switch call {
	case names.Get:
		s.get(w, query.Get("key"))
	case names.List:
		s.list(w, query.Get(names.Prefix), query.Get("after"))
	case names.Watch:
		after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		s.watch(w, r, query.Get(names.Prefix), after, time.Duration(wait)*time.Millisecond)
	case names.Write:
		s.txn(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	it, ok := s.items[key]
	revision := s.revision
	s.mu.Unlock()
	time.Sleep(storeLatency)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, map[string]any{
		"key": it.Key, "value": it.Value, "revision": it.Revision, "created": it.Created, "lease": it.Lease, names.Revision: revision,
	})
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	from, found := slices.BinarySearch(s.keys, max(prefix, after))
	if found && after >= prefix {
		from++
	}
	items, size, more := []item{}, 0, false
	for _, key := range s.keys[from:] {
		if !strings.HasPrefix(key, prefix) {
			break
		}
		it := s.items[key]
		if len(items) > 0 && (len(items) >= storePageItems || size+len(it.Value) > storePageBytes) {
			more = true
			break
		}
		size += len(it.Value)
		items = append(items, it)
	}
	revision := s.revision
	s.mu.Unlock()
	time.Sleep(storeLatency)
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, names.Revision: revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		events, revision, changed, gone := []item{}, s.revision, s.changed, after < s.oldest
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, names.Revision: revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"events": events, names.Revision: revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || len(in.Expected)+len(in.Puts)+len(in.Remove) > maxTxnEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, body := http.StatusOK, map[string]any{}
	s.mu.Lock()
	current := []item{}
	for _, c := range in.Expected {
		it := s.items[c.Key]
		it.Key = c.Key
		current = append(current, it)
		if it.Revision != c.Revision {
			status = http.StatusPreconditionFailed
		}
	}
	for _, p := range in.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			status = http.StatusForbidden
		}
	}
	switch status {
	case http.StatusOK:
		s.revision++
		for _, p := range in.Puts {
			s.write(p.Key, p.Value)
		}
		for _, key := range in.Remove {
			if _, ok := s.items[key]; ok {
				s.remove(key)
				s.record(item{Key: key, Revision: s.revision, Removed: true, at: time.Now()})
			}
		}
		body["revision"] = s.revision
	case http.StatusPreconditionFailed:
		body["items"] = current
	}
	s.mu.Unlock()
	time.Sleep(storeLatency)
	reply(w, status, body)
}
