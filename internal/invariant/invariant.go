// Package invariant checks at run time what must always hold. Checks are cheap,
// always on, counted, logged and shown in the state dump; they never stop the
// process.
//
// # Usage
//
//	checks := invariant.New(log)
//	checks.Check(invariant.HostCapacity, free.Fits(want), "worker", name)
package invariant

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"turmericspread.org/turmericspread/internal/event"
)

// Name names an invariant, in the order of the brief's promises.
type Name string

// The invariants.
const (
	HostCapacity     Name = "host-capacity"      // no host holds more than it can
	SingleRun        Name = "single-run"         // no task runs in two places
	KeyTeam          Name = "key-team"           // work counts for the team of its key
	TeamLimit        Name = "team-limit"         // no team runs more than its limit
	OwnAnswer        Name = "own-answer"         // an answer goes to its own request
	TrueRefusal      Name = "true-refusal"       // "not run" is said only if nothing was written
	AtMostOnce       Name = "at-most-once"       // non-idempotent work is written once
	LeavingTarget    Name = "leaving-target"     // a leaving target gets nothing new
	GracefulStop     Name = "graceful-stop"      // a planned stop cuts nothing
	ConfigMonotonic  Name = "config-monotonic"   // configuration never reverts
	LeaseBeforeStart Name = "right-before-start" // nothing starts on a lapsed right
	SlotCapacity     Name = "slot-capacity"      // no minion gets more than its slots
)

// All lists the invariants.
func All() []Name {
	return []Name{
		HostCapacity, SingleRun, KeyTeam, TeamLimit, OwnAnswer, TrueRefusal, AtMostOnce,
		LeavingTarget, GracefulStop, ConfigMonotonic, LeaseBeforeStart, SlotCapacity,
	}
}

// Count is how often an invariant was checked and found broken.
type Count struct {
	Name    Name   `json:"name"`
	Checked uint64 `json:"checked"`
	Broken  uint64 `json:"broken"`
	Last    string `json:"last,omitempty"`
}

// Checks counts checks. The zero value is not usable; see New.
type Checks struct {
	mu     sync.Mutex
	log    zerolog.Logger
	counts map[Name]*Count
}

// New returns Checks that log what is broken.
func New(log zerolog.Logger) *Checks {
	c := &Checks{log: log, counts: map[Name]*Count{}}
	for _, name := range All() {
		c.counts[name] = &Count{Name: name}
	}
	return c
}

// Check counts one check of name; fields are key-value pairs for the log.
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

// Broken returns how many checks failed in all.
func (c *Checks) Broken() (n uint64) {
	for _, count := range c.Counts() {
		n += count.Broken
	}
	return n
}
