package work

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"
)

// TablesChange is what turns one version of the tables into another. A change
// from version 0 is the whole of a version.
type TablesChange struct {
	From       int64    `cbor:"1,keyasint"`
	To         int64    `cbor:"2,keyasint"`
	Queues     []Queue  `cbor:"3,keyasint,omitempty"` // new or changed
	RemovedQueues []string `cbor:"4,keyasint,omitempty"`
	Pools      []Pool   `cbor:"5,keyasint,omitempty"`
	RemovedPools  []string `cbor:"6,keyasint,omitempty"`
	Teams      []Team   `cbor:"7,keyasint,omitempty"`
	RemovedTeams  []string `cbor:"8,keyasint,omitempty"`
	Limits     Limits   `cbor:"9,keyasint"`
}

// DiffTables returns what turns from into to. A nil from has nothing.
func DiffTables(from, to *Tables) (c TablesChange) {
	if from == nil {
		from = &Tables{}
	}
	c = TablesChange{From: from.Version, To: to.Version, Limits: to.Limits}
	before, after := from.queues(), to.queues()
	for i := range to.Queues {
		if old, ok := before[to.Queues[i].Name]; !ok || !old.equal(&to.Queues[i]) {
			c.Queues = append(c.Queues, to.Queues[i])
		}
	}
	c.RemovedQueues = missing(before, after)
	for _, name := range slices.Sorted(maps.Keys(to.Pools)) {
		if old, ok := from.Pools[name]; !ok || old != to.Pools[name] {
			c.Pools = append(c.Pools, to.Pools[name])
		}
	}
	c.RemovedPools = missing(from.Pools, to.Pools)
	for _, name := range slices.Sorted(maps.Keys(to.Teams)) {
		if old, ok := from.Teams[name]; !ok || !old.equal(to.Teams[name]) {
			c.Teams = append(c.Teams, to.Teams[name])
		}
	}
	c.RemovedTeams = missing(from.Teams, to.Teams)
	return c
}

// Apply returns the tables after a change of t, which is left as it is. A
// change of another version than t's is refused.
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

func (t *Tables) applyQueues(c *TablesChange) {
	at := make(map[string]int, len(t.Queues))
	for i := range t.Queues {
		at[t.Queues[i].Name] = i
	}
	for i := range c.Queues {
		if known, ok := at[c.Queues[i].Name]; ok {
			t.Queues[known] = c.Queues[i]
		} else {
			t.Queues = append(t.Queues, c.Queues[i])
		}
	}
	if len(c.RemovedQueues) > 0 {
		gone := make(map[string]bool, len(c.RemovedQueues))
		for _, name := range c.RemovedQueues {
			gone[name] = true
		}
		t.Queues = slices.DeleteFunc(t.Queues, func(q Queue) bool { return gone[q.Name] })
	}
}

func (t *Tables) queues() (byName map[string]*Queue) {
	if t.byName != nil {
		return t.byName
	}
	byName = make(map[string]*Queue, len(t.Queues))
	for i := range t.Queues {
		byName[t.Queues[i].Name] = &t.Queues[i]
	}
	return byName
}

// equal reports whether two queues have the same policy.
func (q *Queue) equal(other *Queue) bool {
	a, b := *q, *other
	if (a.Advice == nil) != (b.Advice == nil) || a.Advice != nil && *a.Advice != *b.Advice {
		return false
	}
	a.Advice, b.Advice = nil, nil
	return a == b
}

func (t Team) equal(other Team) bool {
	return t.Name == other.Name && t.Weight == other.Weight && t.Maximum == other.Maximum && slices.Equal(t.Keys, other.Keys)
}

// missing returns the keys of before that after lacks, sorted.
func missing[V any](before, after map[string]V) (gone []string) {
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if _, ok := after[name]; !ok {
			gone = append(gone, name)
		}
	}
	return gone
}

// EncodeChange returns the form of a change that hosts exchange.
func EncodeChange(c *TablesChange) (data []byte, err error) {
	defer Error.WrapP(&err)
	return cbor.Marshal(c)
}

// DecodeChange reads the form of a change that hosts exchange.
func DecodeChange(data []byte) (c *TablesChange, err error) {
	defer Error.WrapP(&err)
	c = new(TablesChange)
	if err := cbor.Unmarshal(data, c); err != nil {
		return nil, err
	}
	return c, nil
}
