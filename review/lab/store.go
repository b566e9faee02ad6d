package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store on the wire.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// txn is a conditional write.
type txn struct {
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

// writes reports whether the write sets or removes the key.
func (t *txn) writes(key string) bool {
	if slices.Contains(t.Remove, key) {
		return true
	}
	for _, p := range t.Puts {
		if p.Key == key {
			return true
		}
	}
	return false
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	changed  chan struct{}
	writes   int
	// late, if set, returns after how long a write is executed that gets no answer; 0: it is
	// answered at once.
	late func(t *txn) time.Duration
}

func newStore() *store {
	return &store{revision: 5, items: map[string]item{}, changed: make(chan struct{})}
}

// put writes a key as the operator or a minion does.
func (s *store) put(key string, value any) {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, data)
	s.notify()
}

func (s *store) set(key string, value []byte) {
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.items[key].Created}
	if it.Created == 0 {
		it.Created = s.revision
	}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case names["key"]:
		s.mu.Lock()
		it, ok := s.items[q.Get("key")]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(404)
			return
		}
		reply(w, 200, it)
	case names["range"]:
		s.list(w, q.Get(names["prefix"]), q.Get("after"))
	case names["watch"]:
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		s.watch(w, r, q.Get(names["prefix"]), after, time.Duration(wait)*time.Millisecond)
	case names["txn"]:
		s.write(w, r)
	default:
		w.WriteHeader(404)
	}
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	const pageItems = 500
	keys := []string{}
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	more := len(keys) > pageItems
	keys = keys[:min(len(keys), pageItems)]
	page := []item{}
	for _, k := range keys {
		page = append(page, s.items[k])
	}
	reply(w, 200, map[string]any{"items": page, "hasMore": more, names["revision"]: s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		done := len(events) > 0
		if !done {
			select {
			case <-changed:
				continue
			case <-deadline:
			case <-r.Context().Done():
				return
			}
		}
		reply(w, 200, map[string]any{"events": events, names["revision"]: revision})
		return
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		reply(w, 400, map[string]any{"error": err.Error()})
		return
	}
	s.mu.Lock()
	s.writes++
	late := s.late
	s.mu.Unlock()
	if late != nil {
		if d := late(&t); d > 0 {
			time.AfterFunc(d, func() {
				status, _ := s.apply(&t)
				record("store", "late write executed", "status", status, "keys", t.keys())
			})
			// A connection on which an answer is lost returns nothing further.
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	status, body := s.apply(&t)
	reply(w, status, body)
}

func (t *txn) keys() string {
	var keys []string
	for _, p := range t.Puts {
		keys = append(keys, p.Key)
	}
	return strings.Join(keys, " ")
}

// apply executes a write if its conditions hold.
func (s *store) apply(t *txn) (status int, body any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, current := true, []item{}
	for _, c := range t.Expected {
		it := s.items[c.Key]
		it.Key = c.Key
		holds = holds && it.Revision == c.Revision
		if it.Revision > 0 || c.Revision == 0 {
			current = append(current, it)
		}
	}
	if !holds {
		return 412, map[string]any{"items": current}
	}
	s.revision++
	for _, p := range t.Puts {
		s.set(p.Key, p.Value)
	}
	for _, k := range t.Remove {
		delete(s.items, k)
		s.history = append(s.history, item{Key: k, Revision: s.revision, Removed: true})
	}
	s.notify()
	return 200, map[string]any{"revision": s.revision}
}

// reply sends a response with a JSON body.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
