// Package invariant checks the guarantees of the system at run time. The checks are
// cheap and always enabled. Each check is counted, each violation is logged, and the
// counts appear in the state dump. A violation does not stop the process.
//
// # Usage
//
//	checks := invariant.New(log)
//	checks.Check(invariant.HostCapacity, free.Fits(demand), "worker", name)
package invariant

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"turmericspread.org/turmericspread/internal/event"
)

// Name identifies an invariant.
type Name string

// The invariants.
const (
	HostCapacity     Name = "host-capacity"      // the tasks of a worker fit its capacity
	SingleRun        Name = "single-run"         // a task has at most one run at a time
	KeyTeam          Name = "key-team"           // work is accounted to the team of its key
	TeamLimit        Name = "team-limit"         // a team stays within its limit of running tasks
	OwnAnswer        Name = "own-answer"         // a caller receives the answer to its own request
	TrueRefusal      Name = "true-refusal"       // the outcome "not run" implies that nothing was sent
	AtMostOnce       Name = "at-most-once"       // non-idempotent work is sent at most once
	LeavingTarget    Name = "leaving-target"     // a leaving target gets no new work
	GracefulStop     Name = "graceful-stop"      // a planned stop interrupts no request
	ConfigMonotonic  Name = "config-monotonic"   // the configuration version never decreases
	LeaseBeforeStart Name = "right-before-start" // work starts only under a valid lease of the shard
	SlotCapacity     Name = "slot-capacity"      // a minion gets at most one request per slot
)

// All returns all invariants in the order in which they are reported.
func All() []Name {
	return []Name{
		HostCapacity, SingleRun, KeyTeam, TeamLimit, OwnAnswer, TrueRefusal, AtMostOnce,
		LeavingTarget, GracefulStop, ConfigMonotonic, LeaseBeforeStart, SlotCapacity,
	}
}

// Count holds the number of checks and violations of one invariant. Last describes
// the latest violation.
type Count struct {
	Name    Name   `json:"name"`
	Checked uint64 `json:"checked"`
	Broken  uint64 `json:"broken"`
	Last    string `json:"last,omitempty"`
}

// Checks counts checks of the invariants and their violations. Use New to create
// one.
type Checks struct {
	mu     sync.Mutex
	log    zerolog.Logger
	counts map[Name]*Count
}

// New returns Checks that log violations to log.
func New(log zerolog.Logger) *Checks {
	c := &Checks{log: log, counts: map[Name]*Count{}}
	for _, name := range All() {
		c.counts[name] = &Count{Name: name}
	}
	return c
}

// Check counts one check of the invariant called name, which must be one of All. If
// ok is false, it also counts and logs a violation. The fields describe the violation;
// fmt.Sprint joins them to the detail in the log and in the count.
func (c *Checks) Check(name Name, ok bool, fields ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := c.counts[name]
	count.Checked++
	if ok {
		return
	}
	count.Broken++
	count.Last = fmt.Sprint(fields...)
	metrics.GetOrCreateCounter(fmt.Sprintf(`turmericspread_invariant_broken_total{invariant=%q}`, name)).Inc()
	event.InvariantBroken.Log(c.log).Str("invariant", string(name)).Str("detail", count.Last).Send()
}

// Counts returns all counts in the order of All.
func (c *Checks) Counts() (counts []Count) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range All() {
		counts = append(counts, *c.counts[name])
	}
	return counts
}

// Broken returns the total number of violations.
func (c *Checks) Broken() (n uint64) {
	for _, count := range c.Counts() {
		n += count.Broken
	}
	return n
}
