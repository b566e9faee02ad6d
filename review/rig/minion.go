package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeat is the interval at which a minion writes its entry.
const heartbeat = 1500 * time.Millisecond

// failsAfter is how long a run works that is to fail.
const failsAfter = 200 * time.Millisecond

// Minion is a stand-in for a minion: a machine with one life after the other under the
// same id.
type Minion struct {
	id, service, rack, kind string
	link                    *link
	store                   *Store
	bounds                  Bounds
	log                     *Record
	// behave returns how long a task works, or 0 if it lasts.
	behave func(task, spec string) time.Duration
	// fails, if set, reports whether a run that starts now is to fail.
	fails func(spec string) bool

	mu   sync.Mutex
	life *life
}

// life is one incarnation of a minion.
type life struct {
	kind    string
	m       *Minion
	born    int64
	started time.Time
	server  *http.Server
	mu      sync.Mutex
	over    bool
	fence   int64
	lease   time.Duration // on the minion's clock
	runs    map[runKey]*run
	highest map[string]int64 // by task: highest run that was stopped or has ended here
	ends    []end
	lastEnd int64
	ended   chan struct{}
}

type runKey struct {
	task string
	run  int64
}

type run struct {
	key     runKey
	started time.Time
	lasts   bool
	work    time.Duration
	timer   *time.Timer
}

type end struct {
	n    int64
	task string
	run  int64
	how  string
}

// begin starts a new life of the minion.
func (m *Minion) begin() error {
	l := &life{
		m: m, kind: m.kind, born: time.Now().UnixMilli(), started: time.Now(), runs: map[runKey]*run{}, highest: map[string]int64{}, ended: make(chan struct{}),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire["start"], l.handleStart)
	mux.HandleFunc("POST "+wire["stop"], l.handleStop)
	mux.HandleFunc("POST /-/hold", l.handleHold)
	mux.HandleFunc("POST /-/pace", l.handlePace)
	l.server = &http.Server{Handler: mux}
	go func() { _ = l.server.Serve(listener) }()
	m.mu.Lock()
	m.life = l
	m.mu.Unlock()
	m.link.setTarget(listener.Addr().String())
	m.log.write("begin", "minion", m.id, "born", l.born)
	go l.beat()
	go l.expire()
	return nil
}

// current returns the current life.
func (m *Minion) current() *life {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.life
}

// crash ends the current life without a word.
func (m *Minion) crash() {
	l := m.current()
	l.mu.Lock()
	l.over = true
	lost := len(l.runs)
	for _, r := range l.runs {
		if r.timer != nil {
			r.timer.Stop()
		}
	}
	l.runs = map[runKey]*run{}
	l.mu.Unlock()
	m.log.write("crash", "minion", m.id, "born", l.born, "lost", lost)
	_ = l.server.Close()
}

// beat writes the entry of the minion to the store at each heartbeat. A write is lost while
// the minion is cut off.
func (l *life) beat() {
	for seq := 1; ; seq++ {
		l.mu.Lock()
		over := l.over
		l.mu.Unlock()
		if over {
			return
		}
		if !l.m.link.isCut() {
			l.m.store.register(l.m.id, map[string]any{
				"service": l.m.service, "address": l.m.link.address(), "zone": "z1", "version": "1", "slots": 8, "state": "ready",
				"coldLeftMs": 0, "seq": seq, "born": l.born, "labels": []string{l.kind, l.m.rack},
				"capacity": map[string]any{"cpu": 32000, wire["memory"]: 65536, "gpu": 0},
			})
		}
		time.Sleep(heartbeat)
	}
}

func (l *life) clock() time.Duration { return time.Since(l.started) }

// expire ends all runs once the lease is over.
func (l *life) expire() {
	for {
		time.Sleep(10 * time.Millisecond)
		l.mu.Lock()
		if l.over {
			l.mu.Unlock()
			return
		}
		if len(l.runs) > 0 && l.clock() > l.lease {
			for _, r := range l.runs {
				l.finish(r, "lapsed")
			}
		}
		l.mu.Unlock()
	}
}

// extend extends the lease. The caller holds the lock.
func (l *life) extend(deadlineMs int64) {
	deadline := time.Duration(deadlineMs) * time.Millisecond
	l.lease = max(l.lease, min(deadline, l.clock()+l.m.bounds.MaxHold))
}

// finish ends a run. The caller holds the lock.
func (l *life) finish(r *run, how string) {
	if l.over || l.runs[r.key] != r {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(l.runs, r.key)
	l.highest[r.key.task] = max(l.highest[r.key.task], r.key.run)
	l.lastEnd++
	l.ends = append(l.ends, end{l.lastEnd, r.key.task, r.key.run, how})
	l.m.log.end(l.m.id, l.born, l.lastEnd, r.key.task, r.key.run, how)
	close(l.ended)
	l.ended = make(chan struct{})
}

// call is the body of any order.
type call struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Fence      int64  `json:"fence"`
	Checkpoint string `json:"checkpoint"`
	Noted      int64  `json:"-"` // ends up to this number are forgotten
	WaitMs     int64  `json:"waitMs"`
}

// admit decodes an order and checks its addressee and its fencing token. It returns with
// the lock held if the order is to be carried out.
func (l *life) admit(w http.ResponseWriter, r *http.Request) (in call, ok bool) {
	var fields map[string]json.RawMessage
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &in) != nil || json.Unmarshal(body, &fields) != nil {
		w.WriteHeader(400)
		return in, false
	}
	if noted, ok := fields[wire["noted"]]; ok && json.Unmarshal(noted, &in.Noted) != nil {
		w.WriteHeader(400)
		return in, false
	}
	if want := r.Header.Get(wire["instance"]); want != "" && want != l.m.id {
		w.WriteHeader(421)
		return in, false
	}
	l.mu.Lock()
	if in.Fence < l.fence {
		l.refuse(w, "fence")
		l.mu.Unlock()
		return in, false
	}
	l.fence = in.Fence
	return in, true
}

func (l *life) refuse(w http.ResponseWriter, reason string) {
	answer(w, 409, map[string]any{"clockMs": l.clock().Milliseconds(), "reason": reason})
}

func (l *life) accept(w http.ResponseWriter) {
	answer(w, 200, map[string]any{"clockMs": l.clock().Milliseconds()})
}

func (l *life) handleStart(w http.ResponseWriter, r *http.Request) {
	in, ok := l.admit(w, r)
	if !ok {
		return
	}
	defer l.mu.Unlock()
	key := runKey{in.Task, in.Run}
	switch {
	case l.over:
		return
	case l.runs[key] != nil:
		l.accept(w)
		return
	case l.clock() > time.Duration(in.DeadlineMs)*time.Millisecond:
		l.refuse(w, "late")
		return
	case in.Run <= l.highest[in.Task]:
		l.refuse(w, "old")
		return
	}
	l.extend(in.DeadlineMs)
	started := &run{key: key, started: time.Now(), work: l.m.behave(in.Task, in.Spec)}
	started.lasts = started.work == 0
	l.runs[key] = started
	l.m.log.start(l.m.id, l.kind, l.born, in.Task, in.Run)
	how := "done"
	if l.m.fails != nil && l.m.fails(in.Spec) {
		started.lasts, started.work, how = false, failsAfter, "failed"
	}
	if !started.lasts {
		started.timer = time.AfterFunc(started.work, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.finish(started, how)
		})
	}
	l.accept(w)
}

func (l *life) handleStop(w http.ResponseWriter, r *http.Request) {
	in, ok := l.admit(w, r)
	if !ok {
		return
	}
	defer l.mu.Unlock()
	l.highest[in.Task] = max(l.highest[in.Task], in.Run)
	if stopped := l.runs[runKey{in.Task, in.Run}]; stopped != nil {
		time.AfterFunc(l.m.bounds.Stop/4, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.finish(stopped, "stopped")
		})
	}
	l.accept(w)
}

func (l *life) handlePace(w http.ResponseWriter, r *http.Request) {
	if _, ok := l.admit(w, r); ok {
		l.accept(w)
		l.mu.Unlock()
	}
}

func (l *life) handleHold(w http.ResponseWriter, r *http.Request) {
	in, ok := l.admit(w, r)
	if !ok {
		return
	}
	defer l.mu.Unlock()
	if in.DeadlineMs > 0 {
		l.extend(in.DeadlineMs)
	}
	for len(l.ends) > 0 && l.ends[0].n <= in.Noted {
		l.m.log.noted(l.m.id, l.born, l.ends[0].n, in.Noted)
		l.ends = l.ends[1:]
	}
	timer := time.NewTimer(time.Duration(min(in.WaitMs, 2000)) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; waiting && len(l.ends) == 0 && !l.over; {
		changed := l.ended
		l.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		l.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, started := range l.runs {
		percent := 100
		if !started.lasts {
			percent = int(min(99, 100*time.Since(started.started)/started.work))
		}
		running = append(running, []any{started.key.task, started.key.run, "", percent, 1})
	}
	for _, e := range l.ends[:min(len(l.ends), 500)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	answer(w, 200, map[string]any{"clockMs": l.clock().Milliseconds(), "born": l.born, "running": running, "ended": ended})
}

// running returns the tasks that run on the minion.
func (m *Minion) running() (tasks []string) {
	l := m.current()
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range l.runs {
		tasks = append(tasks, key.task)
	}
	return tasks
}
