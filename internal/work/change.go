package work

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"
)

// TablesChange contains the differences between two versions of the tables. A
// change from version 0 contains a complete version.
type TablesChange struct {
	From          int64    `cbor:"1,keyasint"`
	To            int64    `cbor:"2,keyasint"`
	Queues        []Queue  `cbor:"3,keyasint,omitempty"` // new or changed
	RemovedQueues []string `cbor:"4,keyasint,omitempty"`
	Pools         []Pool   `cbor:"5,keyasint,omitempty"`
	RemovedPools  []string `cbor:"6,keyasint,omitempty"`
	Teams         []Team   `cbor:"7,keyasint,omitempty"`
	RemovedTeams  []string `cbor:"8,keyasint,omitempty"`
	Limits        Limits   `cbor:"9,keyasint"`
}

// DiffTables returns the change from one version of the tables to another. If
// from is nil, the change contains the complete version.
func DiffTables(from, to *Tables) (c TablesChange) {
	if from == nil {
		from = &Tables{}
	}
	c = TablesChange{From: from.Version, To: to.Version, Limits: to.Limits}
	before, after := from.queuesByName(), to.queuesByName()
	for i := range to.Queues {
		if old, ok := before[to.Queues[i].Name]; !ok || !old.equal(&to.Queues[i]) {
			c.Queues = append(c.Queues, to.Queues[i])
		}
	}
	c.RemovedQueues = removedKeys(before, after)
	for _, name := range slices.Sorted(maps.Keys(to.Pools)) {
		if old, ok := from.Pools[name]; !ok || old != to.Pools[name] {
			c.Pools = append(c.Pools, to.Pools[name])
		}
	}
	c.RemovedPools = removedKeys(from.Pools, to.Pools)
	for _, name := range slices.Sorted(maps.Keys(to.Teams)) {
		if old, ok := from.Teams[name]; !ok || !old.equal(to.Teams[name]) {
			c.Teams = append(c.Teams, to.Teams[name])
		}
	}
	c.RemovedTeams = removedKeys(from.Teams, to.Teams)
	return c
}

// Apply returns new tables with the change applied and leaves t unmodified. It
// returns an error if the change does not start at the version of t, or if it
// does not lead to a newer version. A complete version applies to any older one.
func (t *Tables) Apply(c *TablesChange) (next *Tables, err error) {
	defer Error.WrapP(&err)
	if t == nil {
		t = &Tables{}
	}
	if c.From != 0 && c.From != t.Version || c.To <= t.Version {
		return nil, errs.New("change from version %d to %d does not apply to version %d", c.From, c.To, t.Version)
	}
	if c.From == 0 {
		t = &Tables{}
	}
	next = &Tables{
		Version: c.To, Limits: c.Limits, Queues: slices.Clone(t.Queues), Pools: map[string]Pool{}, Teams: map[string]Team{},
	}
	maps.Copy(next.Pools, t.Pools)
	maps.Copy(next.Teams, t.Teams)
	next.applyQueues(c)
	for _, p := range c.Pools {
		next.Pools[p.Name] = p
	}
	for _, name := range c.RemovedPools {
		delete(next.Pools, name)
	}
	for _, team := range c.Teams {
		next.Teams[team.Name] = team
	}
	for _, name := range c.RemovedTeams {
		delete(next.Teams, name)
	}
	next.BuildIndexes()
	return next, nil
}

// applyQueues updates, appends and removes queues. The order of the remaining
// queues does not change.
func (t *Tables) applyQueues(c *TablesChange) {
	index := make(map[string]int, len(t.Queues))
	for i := range t.Queues {
		index[t.Queues[i].Name] = i
	}
	for i := range c.Queues {
		if known, ok := index[c.Queues[i].Name]; ok {
			t.Queues[known] = c.Queues[i]
		} else {
			t.Queues = append(t.Queues, c.Queues[i])
		}
	}
	if len(c.RemovedQueues) > 0 {
		removed := make(map[string]bool, len(c.RemovedQueues))
		for _, name := range c.RemovedQueues {
			removed[name] = true
		}
		t.Queues = slices.DeleteFunc(t.Queues, func(q Queue) bool { return removed[q.Name] })
	}
}

// queuesByName returns the queues by name. It does not need BuildIndexes to
// have been called.
func (t *Tables) queuesByName() (byName map[string]*Queue) {
	if t.byName != nil {
		return t.byName
	}
	byName = make(map[string]*Queue, len(t.Queues))
	for i := range t.Queues {
		byName[t.Queues[i].Name] = &t.Queues[i]
	}
	return byName
}

// equal reports whether both queues have the same settings.
func (q *Queue) equal(other *Queue) bool {
	a, b := *q, *other
	a.Advice, b.Advice = nil, nil
	return a == b && equalAdvice(q.Advice, other.Advice)
}

// equal reports whether both teams have the same settings.
func (t Team) equal(other Team) bool {
	return t.Name == other.Name && t.Weight == other.Weight && t.Maximum == other.Maximum && slices.Equal(t.Keys, other.Keys)
}

// removedKeys returns the sorted keys of before that are not in after.
func removedKeys[V any](before, after map[string]V) (removed []string) {
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if _, ok := after[name]; !ok {
			removed = append(removed, name)
		}
	}
	return removed
}

// EncodeChange encodes a change for other hosts.
func EncodeChange(c *TablesChange) (data []byte, err error) {
	defer Error.WrapP(&err)
	return cbor.Marshal(c)
}

// DecodeChange decodes a change received from another host.
func DecodeChange(data []byte) (c *TablesChange, err error) {
	defer Error.WrapP(&err)
	c = new(TablesChange)
	if err := cbor.Unmarshal(data, c); err != nil {
		return nil, err
	}
	return c, nil
}
