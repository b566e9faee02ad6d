package work

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// contents returns the parts of the tables that lookups can observe.
func contents(t *Tables) map[string]string {
	v := map[string]string{}
	for _, q := range t.Queues {
		v["queue "+q.Name] = q.Service + " " + q.Prefix + " " + q.Timeout.String()
		if q.Advice != nil {
			v["advice "+q.Name] = q.Advice.Decide.String()
		}
	}
	for key := range t.byKey {
		v["key "+key] = t.byKey[key]
	}
	for name, team := range t.Teams {
		v["team "+name] = team.Name
	}
	for name, pool := range t.Pools {
		v["pool "+name] = pool.Name
	}
	return v
}

// tables returns indexed tables with a pool for each service of the queues.
func tables(version int64, queues []Queue, teams ...Team) *Tables {
	t := &Tables{Version: version, Queues: queues, Teams: map[string]Team{}, Pools: map[string]Pool{}}
	for _, team := range teams {
		t.Teams[team.Name] = team
	}
	for _, q := range queues {
		t.Pools[q.Service] = Pool{Name: q.Service}
	}
	t.BuildIndexes()
	return t
}

// TestTablesChange encodes and applies the difference between two versions. The
// result must equal the second version, and the change must contain only what
// differs.
func TestTablesChange(t *testing.T) {
	first := tables(3, []Queue{{Name: "a", Service: "p"}, {Name: "b", Service: "p", Advice: &Advice{Decide: time.Second}}},
		Team{Name: "t", Keys: []string{"k1", "k2"}}, Team{Name: "u", Keys: []string{"k3"}})
	tests := []struct {
		name       string
		from, to   *Tables
		maxEntries int // maximum number of queues and teams in the change
	}{
		{"complete version", nil, first, 4},
		{"key revoked", first, tables(4, first.Queues, Team{Name: "t", Keys: []string{"k2"}}, first.Teams["u"]), 1},
		{"team removed", first, tables(4, first.Queues, first.Teams["t"]), 0},
		{"queue removed", first, tables(5, first.Queues[1:], first.Teams["t"], first.Teams["u"]), 0},
		{"queue moved to another pool", first, tables(9, []Queue{{Name: "a", Service: "q"}, first.Queues[1]}, first.Teams["t"], first.Teams["u"]), 1},
		{
			"different cost of advice", first,
			tables(4, []Queue{first.Queues[0], {Name: "b", Service: "p", Advice: &Advice{Decide: 2 * time.Second}}}, first.Teams["t"], first.Teams["u"]),
			1,
		},
		{"only the version differs", first, tables(4, first.Queues, first.Teams["t"], first.Teams["u"]), 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			change := DiffTables(tc.from, tc.to)
			assert.Assert(t, len(change.Queues)+len(change.Teams) <= tc.maxEntries, "%+v", change)
			data, err := EncodeChange(&change)
			assert.NilError(t, err)
			got, err := DecodeChange(data)
			assert.NilError(t, err)
			next, err := tc.from.Apply(got)
			assert.NilError(t, err)
			assert.Equal(t, next.Version, tc.to.Version)
			assert.DeepEqual(t, contents(next), contents(tc.to))
		})
	}
}

// TestTablesChangeOfAnotherVersion applies changes that do not fit the current
// version. If one were accepted, a revoked key could become valid again.
func TestTablesChangeOfAnotherVersion(t *testing.T) {
	v3, v4, v5 := tables(3, nil), tables(4, nil), tables(5, nil)
	tests := []struct {
		name    string
		current *Tables
		change  TablesChange
	}{
		{"intermediate version missing", v3, DiffTables(v4, v5)},
		{"older version", v5, DiffTables(v3, v4)},
		{"same version", v4, DiffTables(v3, v4)},
		{"complete older version", v5, DiffTables(nil, v4)},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			_, err := tc.current.Apply(&tc.change)
			assert.Assert(t, Error.Has(err), "%v", err)
		})
	}
	complete := DiffTables(nil, v4)
	next, err := v3.Apply(&complete)
	assert.NilError(t, err)
	assert.Equal(t, next.Version, int64(4), "a complete newer version applies to any version")
}

// FuzzDecodeChange applies arbitrary changes. If a change can be applied, the
// tables must have its version afterwards.
func FuzzDecodeChange(f *testing.F) {
	complete := DiffTables(nil, tables(3, []Queue{{Name: "a"}}, Team{Name: "t", Keys: []string{"k"}}))
	data, err := EncodeChange(&complete)
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		change, err := DecodeChange(data)
		if err != nil {
			return
		}
		base := tables(change.From, []Queue{{Name: "a"}})
		if next, err := base.Apply(change); err == nil {
			assert.Equal(t, next.Version, change.To)
		}
	})
}
