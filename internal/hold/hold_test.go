package hold

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// TestBounds guards against holding more than the bounds allow, and against turning away a
// call whose deadline is later than that of another one.
func TestBounds(t *testing.T) {
	bounds := Bounds{Calls: 3, Bytes: 100}
	for _, tc := range []struct {
		name      string
		held      []Entry
		e         Entry
		wantHeld  bool
		displaced []int // indexes of held
	}{
		{"below the bounds", []Entry{{Deadline: ms(5)}, {Deadline: ms(6)}}, Entry{Deadline: ms(1), Bytes: 100}, true, nil},
		{"the earliest deadline is displaced", []Entry{{Deadline: ms(7)}, {Deadline: ms(5)}, {Deadline: ms(6)}}, Entry{Deadline: ms(6)}, true, []int{1}},
		{"the newcomer has the earliest deadline", []Entry{{Deadline: ms(7)}, {Deadline: ms(5)}, {Deadline: ms(6)}}, Entry{Deadline: ms(4)}, false, nil},
		{"the lower priority is displaced", []Entry{{Deadline: ms(5)}, {Deadline: ms(5), Priority: 2}, {Deadline: ms(5)}}, Entry{Deadline: ms(5)}, true, []int{1}},
		{"the newcomer is equal", []Entry{{Deadline: ms(5)}, {Deadline: ms(5)}, {Deadline: ms(5)}}, Entry{Deadline: ms(5)}, false, nil},
		{"several make room for its bytes", []Entry{{Deadline: ms(5), Bytes: 40}, {Deadline: ms(6), Bytes: 40}}, Entry{Deadline: ms(7), Bytes: 90}, true, []int{0, 1}},
		{"no one is displaced in vain", []Entry{{Deadline: ms(5), Bytes: 40}, {Deadline: ms(8), Bytes: 40}}, Entry{Deadline: ms(7), Bytes: 90}, false, nil},
		{"too large alone", nil, Entry{Deadline: ms(7), Bytes: 101}, false, nil},
		{"deadline passed", nil, Entry{Deadline: ms(0)}, false, nil},
		{"a sent one is not displaced", []Entry{{Deadline: ms(4), Sent: true}, {Deadline: ms(5)}, {Deadline: ms(6)}}, Entry{Deadline: ms(7)}, true, []int{1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			q := NewQueue(bounds)
			for i := range tc.held {
				held, _ := q.Add(&tc.held[i], 0)
				assert.Assert(t, held)
			}
			held, displaced := q.Add(&tc.e, 0)
			assert.Equal(t, held, tc.wantHeld)
			assert.Equal(t, len(displaced), len(tc.displaced))
			for i, at := range tc.displaced {
				assert.Equal(t, displaced[i], &tc.held[at])
			}
			assert.Assert(t, q.Len() <= bounds.Calls && q.bytes <= bounds.Bytes)
		})
	}
}

// TestBatches guards against transactions that are too large, that have one key twice, and
// against writing calls late that have less time or a higher priority.
func TestBatches(t *testing.T) {
	q := NewQueue(Bounds{Calls: 100, Bytes: 1000})
	var entries []*Entry
	add := func(e Entry) *Entry {
		held, _ := q.Add(&e, 0)
		assert.Assert(t, held)
		entries = append(entries, &e)
		return &e
	}
	for i := range 35 {
		add(Entry{Key: fmt.Sprintf("%02d", i), Deadline: ms(2000 - 50*i), Priority: i % 3, Size: 1})
	}
	large := add(Entry{Key: "large", Deadline: ms(10), Size: maxBatchBytes})
	again := add(Entry{Key: "34", Deadline: ms(5000), Size: 1})
	assert.Equal(t, len(q.NextBatch()), 0, "calls that wait must not be written")
	assert.Equal(t, len(q.Release()), len(entries))
	for _, e := range entries {
		q.Ready(e)
	}
	var sizes []int
	var order []*Entry
	for batch := q.NextBatch(); len(batch) > 0; batch = q.NextBatch() {
		sizes = append(sizes, len(batch))
		order = append(order, batch...)
	}
	assert.DeepEqual(t, sizes, []int{1, 10, 10, 10, 5})
	assert.Equal(t, order[0], large)
	for i := 1; i < len(order); i++ {
		a, b := order[i-1], order[i]
		assert.Assert(t, a.Deadline < b.Deadline+deadlineClass, "%v before %v", a, b)
		if a.Deadline/deadlineClass == b.Deadline/deadlineClass {
			assert.Assert(t, a.Priority <= b.Priority, "%v before %v", a, b)
		}
	}
	assert.Assert(t, !q.Writable(), "the key is in flight")
	for _, e := range order {
		assert.Assert(t, q.InFlight(e))
		q.Written(e)
	}
	assert.Assert(t, q.Writable())
	assert.Equal(t, q.NextBatch()[0], again)
	held, _ := q.Add(order[0], 0)
	assert.Assert(t, held && q.Waiting() == 1, "a call whose write failed waits again")
}

// TestBoundsForCells guards against bounds below what a cell receives in the three seconds
// that clients wait, and above a sixteenth of the memory.
func TestBoundsForCells(t *testing.T) {
	for _, mb := range []int64{0, 144, 300, 536, 8192} {
		b := BoundsFor(mb)
		assert.Assert(t, b.Calls >= 81, "%d MB: %d calls", mb, b.Calls)
		if mb > 0 {
			assert.Assert(t, int64(b.Calls*callBytes+b.Bytes) <= mb<<20/16, "%d MB", mb)
		}
	}
}

// TestRetryAfter guards against clients that come back in the same second, that come back
// long after a short outage, and against urgent work that waits as long as other work.
func TestRetryAfter(t *testing.T) {
	for _, tc := range []struct {
		name       string
		cause      Cause
		since      time.Duration
		priority   int
		first, end int // the seconds over which clients are spread
	}{
		{"urgent, short outage", StoreAway, 3 * time.Second, 0, 1, 1},
		{"other, short outage", StoreAway, 3 * time.Second, 2, 1, 2},
		{"urgent, long outage", StoreAway, 10 * time.Second, 0, 1, 5},
		{"other, long outage", StoreAway, 10 * time.Second, 2, 1, 10},
		{"very long outage", StoreAway, time.Hour, 2, 1, 15},
		{"urgent, takeover", Takeover, 0, 0, 1, 1},
		{"other, long takeover", Takeover, 20 * time.Second, 1, 1, 2},
		{"no configuration for long", NoConfiguration, 30 * time.Second, 0, 1, 15},
		{"urgent, bound reached", BoundReached, time.Second, 0, 1, 2},
		{"other, bound reached", BoundReached, time.Second, 1, 1, 4},
	} {
		t.Run(tc.name, func(t *testing.T) {
			seen := map[int]int{}
			const steps = 1200
			for i := range steps {
				seen[RetryAfter(tc.cause, tc.since, tc.priority, float64(i)/steps)]++
			}
			assert.Equal(t, len(seen), tc.end-tc.first+1, "%v", seen)
			for second := tc.first; second <= tc.end; second++ {
				assert.Assert(t, seen[second] <= steps/len(seen)+2*steps/100, "%v", seen)
			}
		})
	}
	assert.Equal(t, RetryAfter(StoreAway, time.Hour, 2, 1), 15)
	assert.Equal(t, RetryAfter(StoreAway, -time.Hour, 2, -1), 1)
}

// TestProbeInterval guards against a fleet whose probes take a notable part of the store's
// 6,000 reads per second, and against a late notice that the store is back.
func TestProbeInterval(t *testing.T) {
	for _, tc := range []struct {
		hosts   int
		maxRate float64
		longest time.Duration
	}{{1, 600, ms(60)}, {7, 600, ms(60)}, {44, 600, ms(100)}, {300, 1200, ms(300)}, {1000, 1250, time.Second}} {
		interval := ProbeInterval(tc.hosts)
		assert.Assert(t, interval <= tc.longest, "%d hosts: %s", tc.hosts, interval)
		assert.Assert(t, float64(tc.hosts)/interval.Seconds() < tc.maxRate, "%d hosts: %s", tc.hosts, interval)
	}
}
