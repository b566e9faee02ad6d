package tablecheck

import (
	"errors"
	"maps"
	"slices"

	"turmericspread.org/turmericspread/internal/config"
)

// Cell describes what the tables of a cell may refer to. A nil list skips its check.
type Cell struct {
	Services []string // that minions serve
	Places   []string // data centres of the workers and minions
}

// CheckConfig returns the faults of the team, pool, route and key tables, errors first.
func CheckConfig(t *config.Tables, cell Cell) []Finding {
	f := &findings{}
	if err := t.Check(cell.Services); err != nil {
		entry := "tables"
		if bad := (*config.CheckError)(nil); errors.As(err, &bad) {
			entry = bad.Table + " " + bad.Row
		}
		f.add(true, Error, entry, "%v", err)
	}
	for _, name := range slices.Sorted(maps.Keys(t.Teams)) {
		f.add(t.Teams[name].Limit == 0, Warning, "team "+name, "limit is 0: none of its tasks can run")
	}
	reached := map[string]bool{}
	for _, route := range t.Routes {
		reached[route.Pool] = true
	}
	for _, name := range slices.Sorted(maps.Keys(t.Pools)) {
		pool, entry := t.Pools[name], "pool "+name
		f.add(!reached[name], Warning, entry, "no route leads to it")
		f.add(pool.TimeoutMS < 0, Error, entry, "timeout %v is negative", pool.Timeout())
		f.add(pool.Kind == config.KindRequest && pool.Timeout() > maxDuration, Warning, entry,
			"timeout %v of requests is above %v", pool.Timeout(), maxDuration)
		f.checkPlaces(entry, pool.Places, cell.Places)
	}
	holders := map[string]config.Key{}
	for _, id := range slices.Sorted(maps.Keys(t.Keys)) {
		key := t.Keys[id]
		holder, taken := holders[key.Hash]
		f.add(taken && holder.Team != key.Team, Error, "key "+id, "teams %s and %s hold the same key", holder.Team, key.Team)
		holders[key.Hash] = key
	}
	return f.sorted()
}

// checkPlaces checks that a pool's data centres are those of the cell.
func (f *findings) checkPlaces(entry string, places, known []string) {
	if known == nil || len(places) == 0 {
		return
	}
	unknown := slices.DeleteFunc(slices.Clone(places), func(place string) bool { return slices.Contains(known, place) })
	if len(unknown) == len(places) {
		f.add(true, Error, entry, "no worker is in any of its data centres %q, so its work never starts", places)
		return
	}
	f.add(len(unknown) > 0, Warning, entry, "no worker is in the data centres %q", unknown)
}
