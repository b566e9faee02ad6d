// Package tablecheck checks the operators' configuration before it is sent: for errors, for
// entries that can never match, for limits that contradict each other, and for what differs from
// the version in force. It reads and writes nothing. No key appears in its results.
//
// # Usage
//
//	findings := tablecheck.Check(tables)
//	changes, more := tablecheck.Diff(inForce, tables)
package tablecheck

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"turmericspread.org/turmericspread/internal/work"
)

// Level tells how severe a finding is.
type Level string

// The levels. Error is for configurations of which a part cannot work.
const (
	Error   Level = "error"
	Warning Level = "warning"
)

// Finding is one fault of a configuration.
type Finding struct {
	Level Level  `json:"level"`
	Entry string `json:"entry"` // such as "queue short"
	Text  string `json:"text"`
}

// String returns the finding in human-readable form.
func (f Finding) String() string { return fmt.Sprintf("%s: %s: %s", f.Level, f.Entry, f.Text) }

// findings collects findings.
type findings []Finding

// add adds a finding if it applies.
func (f *findings) add(applies bool, level Level, entry, format string, args ...any) {
	if applies {
		*f = append(*f, Finding{level, entry, fmt.Sprintf(format, args...)})
	}
}

// number checks a number: below 0 is an error, above the limit is absurd.
func (f *findings) number(entry, name string, value, limit float64) {
	f.add(value < 0, Error, entry, "%s %v is negative", name, value)
	f.add(value > limit, Warning, entry, "%s %v is above %v", name, value, limit)
}

// duration checks a duration in the same way.
func (f *findings) duration(entry, name string, d time.Duration) {
	f.add(d < 0, Error, entry, "%s %v is negative", name, d)
	f.add(d > maxDuration, Warning, entry, "%s %v is above %v", name, d, maxDuration)
}

// Numbers above these are taken for mistakes, such as a wrong unit.
const (
	maxDuration = 24 * time.Hour
	maxPriority = 1000
	maxAttempts = 1000
	maxStretch  = 1000
	maxWeight   = 1_000_000
)

const (
	// minMaximumCores and minMaximumMemory are the least maximums of a team that are not taken
	// for a wrong unit: cores are counted in thousandths and memory in MiB.
	minMaximumCores  = 1000
	minMaximumMemory = 64
	// advisedWorkers is the number of workers of a typical placement query.
	advisedWorkers = 30
	// headOverhead is about the size of a request head without the key.
	headOverhead = 256
)

// Check returns the faults of a configuration, errors first.
func Check(t *work.Tables) []Finding {
	f := &findings{}
	f.add(t.Version < 1, Error, "version", "%d is not above 0", t.Version)
	f.add(len(t.Queues) == 0, Warning, "queues", "there are none")
	f.checkQueues(t)
	for _, name := range slices.Sorted(maps.Keys(t.Pools)) {
		used := slices.ContainsFunc(t.Queues, func(q work.Queue) bool { return q.Service == name })
		f.add(!used && !t.Pools[name].Standby, Warning, "pool "+name, "no queue uses it")
	}
	f.checkTeams(t)
	f.checkKeys(t)
	f.checkLimits(t)
	return f.sorted()
}

// sorted returns the findings, errors first.
func (f *findings) sorted() []Finding {
	slices.SortStableFunc(*f, func(a, b Finding) int { return cmp.Compare(a.Level, b.Level) })
	return *f
}

// checkQueues checks the queues and whether requests can reach them.
func (f *findings) checkQueues(t *work.Tables) {
	type route struct{ host, prefix string }
	routes, names := map[route]string{}, map[string]bool{}
	for i := range t.Queues {
		q := &t.Queues[i]
		entry := "queue " + q.Name
		f.add(q.Name == "", Error, entry, "entry %d has no name", i+1)
		f.add(names[q.Name], Error, entry, "an earlier queue has the same name")
		names[q.Name] = true
		f.add(q.Host == "", Error, entry, "the host is missing")
		f.add(!strings.HasPrefix(q.Prefix, "/"), Error, entry, "path prefix %q does not start with a slash, so no request matches", q.Prefix)
		r := route{q.Host, q.Prefix}
		first, taken := routes[r]
		f.add(taken, Warning, entry, "no request matches: queue %s comes first with the same host and path prefix", first)
		if !taken {
			routes[r] = q.Name
		}
		f.checkQueue(t, q, entry)
	}
}

// checkQueue checks the service and the numbers of one queue.
func (f *findings) checkQueue(t *work.Tables, q *work.Queue, entry string) {
	_, known := t.Pools[q.Service]
	f.add(q.Service == "", Error, entry, "the service is missing")
	f.add(q.Service != "" && !known, Error, entry, "unknown service %q: its jobs would never start", q.Service)
	f.number(entry, "priority", float64(q.Priority), maxPriority)
	f.number(entry, "attempts", float64(q.Attempts), maxAttempts)
	f.add(q.Attempts == 0, Warning, entry, "attempts is 0 or missing and counts as 1")
	f.number(entry, "stretch", q.Stretch, maxStretch)
	f.add(q.Stretch >= 0 && q.Stretch < 1, Warning, entry, "stretch %v is below 1 or missing and counts as 1", q.Stretch)
	f.duration(entry, "target latency", q.Target)
	f.duration(entry, "timeout", q.Timeout)
	a := q.Advice
	if a == nil {
		return
	}
	f.duration(entry, "advice: decide", a.Decide)
	f.duration(entry, "advice: each", a.Each)
	f.duration(entry, "advice: valid", a.Valid)
	// The validity counts from the query.
	one, typical := a.Decide+a.Each, a.Decide+advisedWorkers*a.Each
	f.add(a.Valid <= one, Error, entry, "tickets are valid for %v, but a query for one worker takes %v", a.Valid, one)
	f.add(a.Valid > one && a.Valid <= typical, Warning, entry,
		"tickets are valid for %v, but a query for %d workers takes %v", a.Valid, advisedWorkers, typical)
}

// checkTeams checks the teams except for their keys.
func (f *findings) checkTeams(t *work.Tables) {
	for _, name := range slices.Sorted(maps.Keys(t.Teams)) {
		team := t.Teams[name]
		entry := "team " + name
		f.number(entry, "weight", team.Weight, maxWeight)
		f.add(len(team.Keys) == 0, Warning, entry, "no key: it cannot submit")
		m := team.Maximum
		for _, amount := range []struct {
			name       string
			value, min int64
		}{{"cores", m.MilliCores, minMaximumCores}, {"memory", m.MemoryMB, minMaximumMemory}, {"accelerators", m.Accelerators, 0}} {
			f.number(entry, "maximum: "+amount.name, float64(amount.value), work.MaxDemand)
			f.add(amount.value > 0 && amount.value < amount.min, Warning, entry,
				"maximum: %s %d is below one task of usual size (%d); is the unit right?", amount.name, amount.value, amount.min)
		}
	}
}

// checkKeys checks that each key identifies one team.
func (f *findings) checkKeys(t *work.Tables) {
	holders := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(t.Teams)) {
		for _, key := range t.Teams[name].Keys {
			holder, taken := holders[key]
			f.add(key == "", Error, "team "+name, "a key is empty")
			f.add(key != "" && taken && holder != name, Error, "team "+name, "key %s is also held by team %s", shortHash(key), holder)
			f.add(key != "" && taken && holder == name, Warning, "team "+name, "key %s is listed twice", shortHash(key))
			holders[key] = name
		}
	}
	keyed := slices.ContainsFunc(t.Queues, func(q work.Queue) bool { return !q.Public })
	f.add(keyed && len(holders) == 0, Warning, "queues", "no team has a key, so only public queues can be used")
}

// checkLimits checks the limits of requests. A limit of 0 means the default.
func (f *findings) checkLimits(t *work.Tables) {
	const entry = "limits"
	l := t.Limits
	f.number(entry, "body bytes", float64(l.BodyBytes), work.MaxDemand)
	f.number(entry, "header bytes", float64(l.HeaderBytes), work.MaxDemand)
	f.duration(entry, "header timeout", l.HeaderTimeout)
	f.duration(entry, "idle timeout", l.IdleTimeout)
	f.add(l.BodyBytes > 0 && l.BodyBytes < work.MaxPayload, Warning, entry,
		"body bytes %d is below the largest payload of a job, %d", l.BodyBytes, work.MaxPayload)
	longest := 0
	for _, team := range t.Teams {
		for _, key := range team.Keys {
			longest = max(longest, len(key))
		}
	}
	f.add(l.HeaderBytes > 0 && l.HeaderBytes < longest+headOverhead, Warning, entry,
		"header bytes %d may not hold a request with the longest key, which needs about %d", l.HeaderBytes, longest+headOverhead)
	f.add(l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout, Warning, entry,
		"header timeout %v is above the idle timeout %v, which ends the connection first", l.HeaderTimeout, l.IdleTimeout)
}

// shortHash returns the first digits of a key's hash. It identifies the key to those who have it.
func shortHash(key string) string {
	const shown = 4
	sum := sha256.Sum256([]byte(key))
	return "#" + hex.EncodeToString(sum[:shown])
}
