// Package control provides the control goroutine of a process: a single
// goroutine that runs all functions that access the control state, so that the
// state needs no locks.
//
// # Usage
//
//	loop := control.New()
//	go loop.Run(ctx)
//	loop.Post(func() { state.apply(event) })
//	err := loop.Call(ctx, func() { value = state.read() })
package control

import (
	"context"
	"sync"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("control")

// Loop runs functions one at a time, in the order in which they were posted.
type Loop struct {
	// BeforeEach, if set, is called before each function; tests use it to pause
	// the process.
	BeforeEach func()

	mu    sync.Mutex
	queue []func()
	wake  chan struct{} // has an element if functions may be queued
}

// New returns a Loop; Run starts it.
func New() *Loop { return &Loop{wake: make(chan struct{}, 1)} }

// Post queues fn and returns without waiting for it.
func (l *Loop) Post(fn func()) {
	l.mu.Lock()
	l.queue = append(l.queue, fn)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Call queues fn and waits until it has run or ctx ends. After an error fn may
// still run.
func (l *Loop) Call(ctx context.Context, fn func()) (err error) {
	defer Error.WrapP(&err)
	done := make(chan struct{})
	l.Post(func() {
		defer close(done)
		fn()
	})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run runs queued functions until ctx ends. Functions still queued then do not run.
func (l *Loop) Run(ctx context.Context) {
	for {
		l.mu.Lock()
		batch := l.queue
		l.queue = nil
		l.mu.Unlock()
		for _, fn := range batch {
			if l.BeforeEach != nil {
				l.BeforeEach()
			}
			if ctx.Err() != nil {
				return
			}
			fn()
		}
		if len(batch) > 0 {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
	}
}
