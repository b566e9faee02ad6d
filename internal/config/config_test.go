package config

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const validTables = `[team red]
share = 2
limit = 10
[pool bidding]
kind = request
service = hay-auction
timeout = 2s
[route bid]
pool = bidding
`

// TestErrorsNameTheRow checks that the error for an invalid table names the
// row, the key and the allowed values.
func TestErrorsNameTheRow(t *testing.T) {
	for _, tc := range []struct {
		name, old, new string
		want           []string
	}{
		{"unknown pool", "pool = bidding", "pool = biding", []string{"[route bid]", "key pool", `"biding"`, "bidding"}},
		{"unknown kind", "kind = request", "kind = requests", []string{"[pool bidding]", "key kind", "one of"}},
		{"unknown key", "share = 2", "shares = 2", []string{"[team red]", "key shares", "allowed: keys"}},
		{"unknown table", "[team red]", "[teams red]", []string{"section [teams red]"}},
		{"no timeout", "timeout = 2s", "", []string{"pool", "row bidding", "key timeout"}},
		{"negative limit", "limit = 10", "limit = -1", []string{"key limit", "whole number"}},
		{"bad share", "share = 2", "share = NaN", []string{"key share", "number"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Parse("tables.ini", []byte(strings.Replace(validTables, tc.old, tc.new, 1)))
			assert.Assert(t, err != nil)
			for _, part := range tc.want {
				assert.ErrorContains(t, err, part)
			}
		})
	}
}

// TestPoolThatNoTargetServes checks that a pool whose service no minion offers
// is rejected.
func TestPoolThatNoTargetServes(t *testing.T) {
	tables, err := Parse("tables.ini", []byte(validTables))
	assert.NilError(t, err)
	assert.NilError(t, tables.Check([]string{"hay-auction"}))
	assert.ErrorContains(t, tables.Check([]string{"quote-desk"}), `value "hay-auction": allowed: a service that minions serve: quote-desk`)
}

// TestKeys checks that only a granted and not revoked key authenticates its team.
func TestKeys(t *testing.T) {
	tables, err := Parse("tables.ini", []byte(validTables))
	assert.NilError(t, err)
	id, key, err := tables.Grant("red")
	assert.NilError(t, err)
	team, err := tables.Authenticate(key)
	assert.NilError(t, err)
	assert.Equal(t, team, "red")
	assert.Assert(t, !strings.Contains(tables.Keys[id].Hash, key), "the tables contain the key")
	for _, bad := range []string{"", "tsk-", key + "0", "tsk-" + id + "-00", strings.ToUpper(key)} {
		_, err := tables.Authenticate(bad)
		assert.ErrorIs(t, err, ErrUnknownKey)
	}
	delete(tables.Keys, id)
	_, err = tables.Authenticate(key)
	assert.ErrorIs(t, err, ErrUnknownKey)
	_, _, err = tables.Grant("green")
	assert.ErrorContains(t, err, "unknown team")
}

func TestDiff(t *testing.T) {
	a, err := Parse("a.ini", []byte(validTables))
	assert.NilError(t, err)
	b := a.Clone()
	b.Teams["red"] = Team{Share: 3, Limit: 10}
	delete(b.Routes, "bid")
	assert.DeepEqual(t, Diff(a, b), []string{"~ team red {Share:2 Limit:10} -> {Share:3 Limit:10}", "- route bid"})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validTables))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = Parse("fuzz.ini", data) })
}
