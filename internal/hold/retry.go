package hold

import "time"

// Cause is the reason why a call is turned away.
type Cause int

// The causes.
const (
	StoreAway       Cause = iota // the store does not respond
	Takeover                     // the cell is about to get another owner
	NoConfiguration              // no configuration was read yet, or it cannot be confirmed
	BoundReached                 // the host holds as many calls as it can
)

const (
	// shortOutage is the time within which most outages of the store end: that of the
	// measured day took 4.2 s.
	shortOutage = 5 * time.Second
	// shortSpread is the number of seconds over which clients are spread in a short outage.
	shortSpread = 2.0
	// longSpread is the least number in a longer outage, or when too many calls are held: the
	// held ones occupy their places for about three seconds.
	longSpread = 4.0
	// maxSpread bounds the number. A client that comes back much later than the store is late
	// for nothing.
	maxSpread = 15.0
	// maxRandom is the largest random number that is used; 1 would give a second more.
	maxRandom = 0.999
)

// RetryAfter returns after how many seconds, at least one, a client should come back. Since
// is how long the cause has lasted, and random is a number in [0, 1) that differs from client
// to client. An outage that is no longer short is expected to last as long again, so the
// clients are spread over a time that grows with it. The highest priority loses most by
// waiting: it comes back after a second during a short outage, and is spread over half the
// time later.
func RetryAfter(cause Cause, since time.Duration, priority int, random float64) (seconds int) {
	urgent := priority <= 0
	spread := shortSpread
	if cause == BoundReached || cause != Takeover && since >= shortOutage {
		spread = max(longSpread, since.Seconds())
	} else if urgent {
		return 1
	}
	if urgent {
		spread /= 2
	}
	return 1 + int(min(spread, maxSpread)*min(max(random, 0), maxRandom))
}

// ProbeInterval returns the interval between two probes of the store by one of the given
// number of hosts. Together, 44 hosts make 517 probes per second, which is less than a tenth
// of the 6,000 reads that the store serves, and 300 hosts make 1,034.
func ProbeInterval(hosts int) time.Duration {
	const least, perHost = 50 * time.Millisecond, 800 * time.Microsecond
	return least + time.Duration(hosts)*perHost
}
