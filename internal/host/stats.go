package host

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Stats holds the metrics and counters of a host that several goroutines use.
type Stats struct {
	relayTurn atomic.Int64                            // round-robin position of relayAddresses
	pending   atomic.Pointer[map[string]pendingCount] // by queue; the map is replaced, never modified
	set       *metrics.Set
	// rejectionLogs bounds the lines on rejected jobs.
	rejectionLogs rateBudget
	// silentLogs bounds the lines on silent connections.
	silentLogs rateBudget
	// confirmations bounds the reads of the store that confirm a refusal.
	confirmations rateBudget
}

// pendingCount is the number of pending jobs of a queue at a point in time.
type pendingCount struct {
	n  int
	at time.Time
}

// maxPendingAge is the maximum age of a pending count that is still returned.
// The count must be at most two seconds old when it reaches the client.
const maxPendingAge = 1500 * time.Millisecond

func newStats() *Stats {
	s := &Stats{set: metrics.NewSet()}
	s.pending.Store(&map[string]pendingCount{})
	return s
}

// recordPending stores the pending count of a queue and removes outdated counts.
func (s *Stats) recordPending(queue string, n int) {
	old := *s.pending.Load()
	next := make(map[string]pendingCount, len(old)+1)
	for name, count := range old {
		if time.Since(count.at) < maxPendingAge {
			next[name] = count
		}
	}
	next[queue] = pendingCount{n, time.Now()}
	s.pending.Store(&next)
}

// lastPending returns the stored count of a queue unless it is outdated.
func (s *Stats) lastPending(queue string) (n int, ok bool) {
	count, ok := (*s.pending.Load())[queue]
	return count.n, ok && time.Since(count.at) < maxPendingAge
}
