package work

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// view is what calls can tell of tables.
func view(t *Tables) map[string]string {
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

func TestTablesChange(t *testing.T) {
	first := tables(3, []Queue{{Name: "a", Service: "p"}, {Name: "b", Service: "p", Advice: &Advice{Decide: time.Second}}},
		Team{Name: "t", Keys: []string{"k1", "k2"}}, Team{Name: "u", Keys: []string{"k3"}})
	tests := []struct {
		name     string
		from, to *Tables
		most     int // queues and teams that the change may carry
	}{
		{"the whole of a version", nil, first, 4},
		{"a key withdrawn", first, tables(4, first.Queues, Team{Name: "t", Keys: []string{"k2"}}, first.Teams["u"]), 1},
		{"a team gone", first, tables(4, first.Queues, first.Teams["t"]), 0},
		{"a queue gone", first, tables(5, first.Queues[1:], first.Teams["t"], first.Teams["u"]), 0},
		{"a queue to another pool", first, tables(9, []Queue{{Name: "a", Service: "q"}, first.Queues[1]}, first.Teams["t"], first.Teams["u"]), 1},
		{
			"another cost of advice", first,
			tables(4, []Queue{first.Queues[0], {Name: "b", Service: "p", Advice: &Advice{Decide: 2 * time.Second}}}, first.Teams["t"], first.Teams["u"]),
			1,
		},
		{"nothing but the version", first, tables(4, first.Queues, first.Teams["t"], first.Teams["u"]), 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			change := DiffTables(tc.from, tc.to)
			assert.Assert(t, len(change.Queues)+len(change.Teams) <= tc.most, "%+v", change)
			data, err := EncodeChange(&change)
			assert.NilError(t, err)
			got, err := DecodeChange(data)
			assert.NilError(t, err)
			next, err := tc.from.Apply(got)
			assert.NilError(t, err)
			assert.Equal(t, next.Version, tc.to.Version)
			assert.DeepEqual(t, view(next), view(tc.to))
		})
	}
}

// TestTablesChangeOfAnotherVersion refuses what would bring a withdrawn key back.
func TestTablesChangeOfAnotherVersion(t *testing.T) {
	v3, v4, v5 := tables(3, nil), tables(4, nil), tables(5, nil)
	tests := []struct {
		name   string
		at     *Tables
		change TablesChange
	}{
		{"a version is missing between", v3, DiffTables(v4, v5)},
		{"a version of before", v5, DiffTables(v3, v4)},
		{"the same version again", v4, DiffTables(v3, v4)},
		{"the whole of an older version", v5, DiffTables(nil, v4)},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			_, err := tc.at.Apply(&tc.change)
			assert.Assert(t, Error.Has(err), "%v", err)
		})
	}
	whole := DiffTables(nil, v4)
	next, err := v3.Apply(&whole)
	assert.NilError(t, err)
	assert.Equal(t, next.Version, int64(4), "the whole of a newer version applies to any")
}

func FuzzDecodeChange(f *testing.F) {
	whole := DiffTables(nil, tables(3, []Queue{{Name: "a"}}, Team{Name: "t", Keys: []string{"k"}}))
	data, err := EncodeChange(&whole)
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
