package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Record writes record.txt and keeps what the checks need.
type Record struct {
	mu     sync.Mutex
	file   *os.File
	begun  time.Time
	starts []startEvent
	ends   []endEvent
	notes  map[endKey]bool // ends that were taken note of
}

type lifeKey struct {
	minion string
	born   int64
}

type endKey struct {
	life lifeKey
	n    int64
}

type startEvent struct {
	at   time.Time
	life lifeKey
	kind string // of the minion in this life
	task string
	run  int64
}

type endEvent struct {
	at   time.Time
	life lifeKey
	n    int64
	task string
	run  int64
	how  string
}

func newRecord(path string) (r *Record, err error) {
	r = &Record{begun: time.Now(), notes: map[endKey]bool{}}
	r.file, err = os.Create(path)
	return r, err
}

// write writes one line: the time in milliseconds, what happened, and its details.
func (r *Record) write(what string, details ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(what, details...)
}

func (r *Record) line(what string, details ...any) {
	var b strings.Builder
	fmt.Fprintf(&b, "%7d %s", time.Since(r.begun).Milliseconds(), what)
	for i := 0; i+1 < len(details); i += 2 {
		fmt.Fprintf(&b, " %v=%v", details[i], details[i+1])
	}
	fmt.Fprintln(r.file, b.String())
}

func (r *Record) start(minion, kind string, born int64, task string, run int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, startEvent{time.Now(), lifeKey{minion, born}, kind, task, run})
	r.line("start", "minion", minion, "kind", kind, "born", born, "task", task, "run", run)
}

func (r *Record) end(minion string, born, n int64, task string, run int64, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends = append(r.ends, endEvent{time.Now(), lifeKey{minion, born}, n, task, run, how})
	r.line("end", "minion", minion, "born", born, "n", n, "task", task, "run", run, "how", how)
}

func (r *Record) noted(minion string, born, n, upto int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes[endKey{lifeKey{minion, born}, n}] = true
	r.line("noted", "minion", minion, "born", born, "n", n, "upto", upto)
}

// startsAfterDone returns the starts of tasks after a run of them has ended `done`, where
// that end was taken note of.
func (r *Record) startsAfterDone() (found []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.ends {
		if e.how != "done" || !r.notes[endKey{e.life, e.n}] {
			continue
		}
		for _, s := range r.starts {
			if s.task == e.task && s.at.After(e.at) {
				found = append(found, fmt.Sprintf("task %s: run %d ended done on %s as end %d at %d ms and was taken note of, run %d started on %s at %d ms",
					e.task, e.run, e.life.minion, e.n, e.at.Sub(r.begun).Milliseconds(), s.run, s.life.minion, s.at.Sub(r.begun).Milliseconds()))
			}
		}
	}
	return found
}

// startsWithout returns the starts on minions without the label.
func (r *Record) startsWithout(label string) (found []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.starts {
		if s.kind != label {
			found = append(found, fmt.Sprintf("task %s needs the label %s: run %d started at %d ms on %s, which is of kind %s",
				s.task, label, s.run, s.at.Sub(r.begun).Milliseconds(), s.life.minion, s.kind))
		}
	}
	return found
}

// overlaps returns the pairs of runs of one task that were under way at the same time, on
// minions that did not crash in between.
func (r *Record) overlaps() (found []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	type runOf struct {
		life lifeKey
		task string
		run  int64
	}
	ended := map[runOf]time.Time{}
	for _, e := range r.ends {
		ended[runOf{e.life, e.task, e.run}] = e.at
	}
	for i, a := range r.starts {
		for _, b := range r.starts[i+1:] {
			if a.task != b.task || a.run == b.run && a.life == b.life {
				continue
			}
			end, ok := ended[runOf{a.life, a.task, a.run}]
			if !ok || b.at.Before(end) {
				found = append(found, fmt.Sprintf("task %s: run %d on %s from %d ms, run %d on %s from %d ms, before the first one ended",
					a.task, a.run, a.life.minion, a.at.Sub(r.begun).Milliseconds(), b.run, b.life.minion, b.at.Sub(r.begun).Milliseconds()))
			}
		}
	}
	return found
}

// indexOf returns the index of a task in its step.
func indexOf(task string) (index int) {
	index, _ = strconv.Atoi(task[strings.LastIndexByte(task, '.')+1:])
	return index
}
