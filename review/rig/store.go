package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeAnswerTime is the time that the store takes for an answer, as on the sheets.
const storeAnswerTime = 4 * time.Millisecond

// pageItems bounds the items of one page of a listing.
const pageItems = 500

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// entryLife is how long the entry of a silent minion stays: three heartbeats.
const entryLife = 3 * heartbeat

// Store is a stand-in for the platform's metadata store.
type Store struct {
	mu       sync.Mutex
	silent   bool
	written  map[string]time.Time // when the entry of a minion was last written
	revision int64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

func newStore() *Store {
	s := &Store{revision: 10, items: map[string]item{}, changed: make(chan struct{}), written: map[string]time.Time{}}
	go s.expireEntries()
	return s
}

// setSilent makes the store give no answer, or answer again.
func (s *Store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

func (s *Store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// expireEntries removes the entries of minions that have been silent for entryLife, also
// while the store gives no answer.
func (s *Store) expireEntries() {
	for {
		time.Sleep(50 * time.Millisecond)
		s.mu.Lock()
		for key, at := range s.written {
			if time.Since(at) > entryLife {
				delete(s.written, key)
				s.revision++
				s.write(key, nil, true)
			}
		}
		s.mu.Unlock()
	}
}

// register writes the entry of a minion, and reports whether the store has accepted it.
func (s *Store) register(id string, entry any) bool {
	if s.isSilent() {
		return false
	}
	key := "servers/" + id
	s.put(key, entry)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written[key] = time.Now()
	return true
}

// write sets or removes a key. The caller holds the lock.
func (s *Store) write(key string, value []byte, remove bool) {
	old, known := s.items[key]
	next := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Removed: remove}
	if known {
		next.Created = old.Created
	}
	if remove {
		delete(s.items, key)
	} else {
		s.items[key] = next
	}
	s.history = append(s.history, next)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key, as the operator or a minion does.
func (s *Store) put(key string, value any) {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, data, false)
}

// serve serves the store on a free port of a loopback address.
func (s *Store) serve() (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, s) }()
	return listener.Addr().String(), nil
}

// ServeHTTP answers the calls of the system.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	if s.isSilent() {
		<-r.Context().Done()
		return
	}
	query := r.URL.Query()
	switch {
	case r.URL.Path == wire["key"]:
		s.mu.Lock()
		it, ok := s.items[query.Get("key")]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(404)
			return
		}
		answer(w, 200, it)
	case r.URL.Path == wire["range"]:
		s.serveRange(w, query.Get(wire["prefix"]), query.Get("after"))
	case r.URL.Path == wire["watch"]:
		after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		s.serveWatch(r.Context(), w, query.Get(wire["prefix"]), after, time.Duration(min(wait, 30000))*time.Millisecond)
	case r.URL.Path == wire["write"] && r.Method == "POST":
		s.serveTxn(w, r)
	default:
		w.WriteHeader(404)
	}
}

func (s *Store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageItems
	answer(w, 200, map[string]any{"items": items[:min(len(items), pageItems)], "hasMore": more, wire["revision"]: revision})
}

func (s *Store) serveWatch(ctx context.Context, w http.ResponseWriter, prefix string, after int64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for done := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || done {
			answer(w, 200, map[string]any{"events": events, wire["revision"]: revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			done = true
		case <-ctx.Done():
			return
		}
	}
}

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
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
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || len(in.Expected)+len(in.Puts)+len(in.Remove) > 32 {
		w.WriteHeader(400)
		return
	}
	for _, p := range in.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(403)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict, current := false, []item{}
	for _, e := range in.Expected {
		it := s.items[e.Key]
		it.Key = e.Key
		current = append(current, it)
		conflict = conflict || it.Revision != e.Revision
	}
	if conflict {
		answer(w, 412, map[string]any{"items": current})
		return
	}
	if len(in.Puts)+len(in.Remove) > 0 {
		s.revision++
	}
	for _, p := range in.Puts {
		s.write(p.Key, p.Value, false)
	}
	for _, key := range in.Remove {
		if _, ok := s.items[key]; ok {
			s.write(key, nil, true)
		}
	}
	answer(w, 200, map[string]any{"revision": s.revision})
}

// answer sends a response with a JSON body.
func answer(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
