package carrier

import (
	"context"
	"sync"
	"time"
)

// batchInterval is the minimum interval between two messages on one stream.
// Entries added in between are sent in one message. The delay is small compared
// to the time that a start takes.
const batchInterval = 4 * time.Millisecond

// outbox collects the entries to be sent on one stream.
type outbox[T any] struct {
	mu   sync.Mutex
	list []T
	wake chan struct{}
}

func newOutbox[T any]() *outbox[T] { return &outbox[T]{wake: make(chan struct{}, 1)} }

// add appends an entry. It never blocks.
func (b *outbox[T]) add(entry T) {
	b.mu.Lock()
	b.list = append(b.list, entry)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// len returns the number of collected entries.
func (b *outbox[T]) len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.list)
}

// takeAll returns the collected entries and removes them.
func (b *outbox[T]) takeAll() (list []T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	list, b.list = b.list, nil
	return list
}

// sendBatches sends the collected entries in batches until send fails or ctx ends.
func (b *outbox[T]) sendBatches(ctx context.Context, send func(list []T) error) (err error) {
	timer := time.NewTimer(batchInterval)
	defer timer.Stop()
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
		timer.Reset(batchInterval)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
	}
}
