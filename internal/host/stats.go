package host

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Stats are figures of a host that other goroutines read.
type Stats struct {
	relayTurn atomic.Int64
	pending   atomic.Pointer[map[string]pendingCount]
	set       *metrics.Set
}

type pendingCount struct {
	n  int
	at time.Time
}

// pendingAge is the age up to which a count may still be given: it is meant to
// be at most two seconds old.
const pendingAge = 1500 * time.Millisecond

func newStats() *Stats {
	s := &Stats{set: metrics.NewSet()}
	s.pending.Store(&map[string]pendingCount{})
	return s
}

func (s *Stats) notePending(queue string, n int) {
	old := *s.pending.Load()
	next := make(map[string]pendingCount, len(old)+1)
	for name, count := range old {
		if time.Since(count.at) < pendingAge {
			next[name] = count
		}
	}
	next[queue] = pendingCount{n, time.Now()}
	s.pending.Store(&next)
}

func (s *Stats) lastPending(queue string) (n int, ok bool) {
	count, ok := (*s.pending.Load())[queue]
	return count.n, ok && time.Since(count.at) < pendingAge
}
