package carrier

import (
	"context"
	"sync"
	"time"
)

// gather is the least time between two messages on one stream: what comes
// meanwhile travels together. It is small against the time of a start.
const gather = 4 * time.Millisecond

// outbox gathers what is to be sent on one stream.
type outbox[T any] struct {
	mu   sync.Mutex
	list []T
	wake chan struct{}
}

func newOutbox[T any]() *outbox[T] { return &outbox[T]{wake: make(chan struct{}, 1)} }

// put adds an entry. It never blocks.
func (b *outbox[T]) put(entry T) {
	b.mu.Lock()
	b.list = append(b.list, entry)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *outbox[T]) takeAll() (list []T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	list, b.list = b.list, nil
	return list
}

// drain sends what gathers until send fails or ctx ends.
func (b *outbox[T]) drain(ctx context.Context, send func(list []T) error) (err error) {
	pause := time.NewTimer(gather)
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-b.wake:
		}
		if list := b.takeAll(); len(list) > 0 {
			if err := send(list); err != nil {
				return err
			}
		}
		pause.Reset(gather)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-pause.C:
		}
	}
}
