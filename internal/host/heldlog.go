package host

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/hold"
)

// holdEpisode counts the calls from the first that was held until none is.
type holdEpisode struct {
	since     time.Time
	held      int
	released  int
	expired   int // held until their deadline
	displaced int // beyond the bounds
	longest   time.Duration
	logged    bool // CallsHeld was logged
	turned    int  // turned away as of the last line about it
	nextLine  time.Time
}

const (
	// holdLogDelay is the time from which an episode is logged. A call that waits for a
	// single refresh of the configuration is not worth a line.
	holdLogDelay = 250 * time.Millisecond
	// turnedAwayInterval is the minimum interval between two lines about calls that are
	// turned away.
	turnedAwayInterval = time.Second
)

// countHeld counts the outcome of a held call.
func (h *Host) countHeld(count *int, outcome string) {
	*count++
	h.stats.set.GetOrCreateCounter(fmt.Sprintf(`turmericspread_held_calls_total{outcome=%q}`, outcome)).Inc()
}

// logHolding logs that calls are held, and how many were turned away. The caller holds the
// lock.
func (h *Host) logHolding() {
	b := &h.holding
	e := &b.episode
	if !e.logged && time.Since(e.since) > holdLogDelay && b.queue.Waiting() > 0 {
		e.logged = true
		event.CallsHeld.Log(h.Log).Int("held", b.queue.Len()).Bool("store", h.store.Up()).
			Dur("since-store", time.Since(h.store.LastSuccess())).Int64("config", h.tablesVersion()).
			Dur("config-age", h.TablesAge()).Send()
	}
	if turned := e.expired + e.displaced; turned > e.turned && time.Now().After(e.nextLine) {
		e.nextLine = time.Now().Add(turnedAwayInterval)
		event.CallsTurnedAway.Log(h.Log).Int("count", turned-e.turned).Int("expired", e.expired).
			Int("displaced", e.displaced).Int("held", b.queue.Len()).Send()
		e.turned = turned
	}
}

// logHoldingEnd logs the counts of an episode. The caller holds the lock.
func (h *Host) logHoldingEnd() {
	e := &h.holding.episode
	if e.logged || e.expired+e.displaced > 0 {
		event.CallsReleased.Log(h.Log).Int("held", e.held).Int("released", e.released).Int("expired", e.expired).
			Int("displaced", e.displaced).Dur("longest", e.longest).Dur("took", time.Since(e.since)).Send()
	}
}

// RetryAfter returns after how many seconds a client should come back whose call was turned
// away with err.
func (h *Host) RetryAfter(err error, priority int) (seconds int) {
	if seconds, ok := retryAfterUseless(err); ok {
		return seconds
	}
	if !h.running.Load() {
		return hold.RetryAfter(hold.NoConfiguration, 0, priority, rand.Float64())
	}
	cause, since := hold.StoreAway, time.Since(h.store.LastSuccess())
	switch {
	case errs.Is(err, errHoldFull), errs.Is(err, errCellFull), errs.Is(err, errTombstoneLimit):
		cause = hold.BoundReached
	case h.Tables() == nil:
		cause, since = hold.NoConfiguration, time.Since(h.started)
	case !h.store.Up():
	case !h.TablesConfirmed():
		cause, since = hold.NoConfiguration, h.TablesAge()
	default:
		cause = hold.Takeover // or another cause that has just ended
	}
	return hold.RetryAfter(cause, since, priority, rand.Float64())
}
