package tablecheck

import (
	"fmt"
	"slices"
	"strings"

	"turmericspread.org/turmericspread/internal/work"
)

// field is one setting of an entry in human-readable form.
type field struct{ name, value string }

// Diff lists the entries that were added (+), removed (-) or changed (~) since the version in
// force, one line each, and returns a finding if hosts would ignore the new version.
func Diff(inForce, t *work.Tables) (changes []string, found []Finding) {
	f := &findings{}
	change := work.DiffTables(inForce, t)
	for i := range change.Queues {
		after := &change.Queues[i]
		before := slices.IndexFunc(inForce.Queues, func(q work.Queue) bool { return q.Name == after.Name })
		if before < 0 {
			changes = append(changes, "+ queue "+after.Name)
		} else {
			changes = append(changes, changed("queue "+after.Name, queueFields(&inForce.Queues[before]), queueFields(after)))
		}
	}
	changes = appendRemoved(changes, "queue", change.RemovedQueues)
	for _, after := range change.Pools {
		if before, ok := inForce.Pools[after.Name]; ok {
			changes = append(changes, changed("pool "+after.Name, poolFields(before), poolFields(after)))
		} else {
			changes = append(changes, "+ pool "+after.Name)
		}
	}
	changes = appendRemoved(changes, "pool", change.RemovedPools)
	for _, after := range change.Teams {
		if before, ok := inForce.Teams[after.Name]; ok {
			line := changed("team "+after.Name, teamFields(before), teamFields(after))
			changes = append(changes, line+changedKeys(before.Keys, after.Keys))
		} else {
			changes = append(changes, "+ team "+after.Name+changedKeys(nil, after.Keys))
		}
	}
	changes = appendRemoved(changes, "team", change.RemovedTeams)
	if inForce.Limits != t.Limits {
		changes = append(changes, changed("limits", limitFields(inForce.Limits), limitFields(t.Limits)))
	}
	f.add(t.Version <= inForce.Version && len(changes) > 0, Error, "version",
		"%d is not above %d, the version in force: hosts ignore it", t.Version, inForce.Version)
	return changes, *f
}

// appendRemoved adds a line for each removed entry.
func appendRemoved(changes []string, table string, names []string) []string {
	for _, name := range names {
		changes = append(changes, "- "+table+" "+name)
	}
	return changes
}

// changed returns the line of a changed entry with the fields that differ.
func changed(entry string, before, after []field) string {
	var b strings.Builder
	b.WriteString("~ " + entry)
	for i := range after {
		if before[i].value != after[i].value {
			fmt.Fprintf(&b, ", %s %s -> %s", after[i].name, before[i].value, after[i].value)
		}
	}
	return b.String()
}

// changedKeys returns the short hashes of the keys that were removed and added.
func changedKeys(before, after []string) string {
	var b strings.Builder
	for _, key := range before {
		if !slices.Contains(after, key) {
			b.WriteString(", - key " + shortHash(key))
		}
	}
	for _, key := range after {
		if !slices.Contains(before, key) {
			b.WriteString(", + key " + shortHash(key))
		}
	}
	return b.String()
}

// queueFields returns the settings of a queue.
func queueFields(q *work.Queue) []field {
	advice := "none"
	if q.Advice != nil {
		advice = fmt.Sprintf("%+v", *q.Advice)
	}
	return []field{
		{"host", q.Host}, {"prefix", q.Prefix}, {"service", q.Service}, {"priority", fmt.Sprint(q.Priority)},
		{"attempts", fmt.Sprint(q.Attempts)}, {"stretch", fmt.Sprint(q.Stretch)}, {"target latency", q.Target.String()},
		{"public", fmt.Sprint(q.Public)}, {"timeout", q.Timeout.String()}, {"advice", advice},
	}
}

// poolFields returns the settings of a pool.
func poolFields(p work.Pool) []field {
	return []field{{"admission check", fmt.Sprint(p.Guards)}, {"standby", fmt.Sprint(p.Standby)}}
}

// teamFields returns the settings of a team except for its keys.
func teamFields(t work.Team) []field {
	return []field{{"weight", fmt.Sprint(t.Weight)}, {"maximum", fmt.Sprintf("%+v", t.Maximum)}}
}

// limitFields returns the limits of requests.
func limitFields(l work.Limits) []field {
	return []field{
		{"header bytes", fmt.Sprint(l.HeaderBytes)}, {"body bytes", fmt.Sprint(l.BodyBytes)},
		{"header timeout", l.HeaderTimeout.String()}, {"idle timeout", l.IdleTimeout.String()},
	}
}
