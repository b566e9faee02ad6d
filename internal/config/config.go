// Package config contains the configuration tables that operators edit: teams,
// pools, routes and keys. All tables share one version.
//
// # Usage
//
//	tables, err := config.Load("tables.ini")
//	err = tables.Check(services)
//	pool, err := tables.PoolOf("bid")
//	team, err := tables.Authenticate("tsk-1a2b-...")
//
// A Tables value must not be changed once it is shared; edit a Clone instead.
package config

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/inifile"
)

// Error is the class of all errors of this package.
var Error = errs.Class("config")

// Errors of lookups.
var (
	ErrUnknownRoute = errs.New("unknown route")
	ErrUnknownKey   = errs.New("unknown or withdrawn key")
)

// Kind describes how a pool runs its work.
type Kind string

// The kinds of pools.
const (
	KindRequest Kind = "request" // requests forwarded to a minion while the caller waits
	KindService Kind = "service" // a fixed number of tasks, restarted when they end
	KindBatch   Kind = "batch"   // independent tasks run to completion
	KindGang    Kind = "gang"    // tasks started all together or not at all
)

// Team is one row of the team table.
type Team struct {
	// Share is the team's weight in the division of a full cell.
	Share float64 `json:"share"`
	// Limit is the maximum number of tasks that the team may run at a time in
	// the whole cell.
	Limit int64 `json:"limit"`
}

// Pool is one row of the pool table.
type Pool struct {
	Kind Kind `json:"kind"`
	// Service names the minions that serve a pool of kind request.
	Service string `json:"service,omitempty"`
	// TimeoutMS bounds a request, or one run of a batch or gang task, in
	// milliseconds; 0 means no bound.
	TimeoutMS int64 `json:"timeout-ms,omitempty"`
	// Retries is the number of times that a failed task is run again.
	Retries int `json:"retries,omitempty"`
	// Idempotent work may be run again when its outcome is unknown.
	Idempotent bool `json:"idempotent,omitempty"`
	// Preemptible tasks may be checkpointed and stopped for other teams.
	Preemptible bool `json:"preemptible,omitempty"`
	// Urgent tasks are started before others of the same team.
	Urgent bool `json:"urgent,omitempty"`
	// Places lists the data centres in which the work may run; empty means all.
	Places []string `json:"places,omitempty"`
}

// Timeout returns the bound of a request or of one run of a task; 0 means no bound.
func (p Pool) Timeout() time.Duration { return time.Duration(p.TimeoutMS) * time.Millisecond }

// AllowsPlace reports whether the pool's work may run in the data centre place.
func (p Pool) AllowsPlace(place string) bool {
	return len(p.Places) == 0 || slices.Contains(p.Places, place)
}

// Route is one row of the route table.
type Route struct {
	Pool string `json:"pool"`
}

// Key is one row of the key table. It contains only the hash of a team's key.
type Key struct {
	Team string `json:"team"`
	Hash string `json:"hash"`
}

// Tables contains all tables of one version of the configuration.
type Tables struct {
	Version int64            `json:"version"`
	Teams   map[string]Team  `json:"teams"`
	Pools   map[string]Pool  `json:"pools"`
	Routes  map[string]Route `json:"routes"`
	Keys    map[string]Key   `json:"keys"`
	// Edits lists the IDs of the latest edits, so that it can be determined
	// whether an edit took effect whose response was lost.
	Edits []string `json:"edits,omitempty"`
}

// maxEdits bounds the number of edit IDs kept in the tables.
const maxEdits = 64

// Stamp increments the version and adds the ID of the edit that leads to it.
func (t *Tables) Stamp(edit string) {
	t.Version++
	t.Edits = append(slices.Clone(t.Edits), edit)
	t.Edits = t.Edits[max(0, len(t.Edits)-maxEdits):]
}

// Has reports whether the tables include the edit with this ID.
func (t *Tables) Has(edit string) bool { return slices.Contains(t.Edits, edit) }

// New returns empty tables at version 0.
func New() *Tables {
	return &Tables{
		Teams:  map[string]Team{},
		Pools:  map[string]Pool{},
		Routes: map[string]Route{},
		Keys:   map[string]Key{},
	}
}

// Clone returns a copy that can be edited without changing the original.
func (t *Tables) Clone() *Tables {
	c := New()
	c.Version, c.Edits = t.Version, t.Edits
	maps.Copy(c.Teams, t.Teams)
	maps.Copy(c.Pools, t.Pools)
	maps.Copy(c.Routes, t.Routes)
	maps.Copy(c.Keys, t.Keys)
	return c
}

// PoolOf returns the pool of a route.
func (t *Tables) PoolOf(route string) (pool Pool, err error) {
	r, ok := t.Routes[route]
	if !ok {
		return Pool{}, ErrUnknownRoute
	}
	return t.Pools[r.Pool], nil
}

// Authenticate returns the team that a key was granted to.
func (t *Tables) Authenticate(key string) (team string, err error) {
	id, _, ok := splitKey(key)
	if !ok {
		return "", ErrUnknownKey
	}
	granted, ok := t.Keys[id]
	if !ok {
		return "", ErrUnknownKey
	}
	if !HashMatches(granted.Hash, key) {
		return "", ErrUnknownKey
	}
	return granted.Team, nil
}

// Grant adds a new key for a team. The returned key cannot be retrieved again,
// because the tables contain only its hash.
func (t *Tables) Grant(team string) (id, key string, err error) {
	defer Error.WrapP(&err)
	if _, ok := t.Teams[team]; !ok {
		return "", "", errs.New("unknown team %q", team)
	}
	const idBytes, secretBytes = 4, 20
	id = randomHex(idBytes)
	key = keyPrefix + id + "-" + randomHex(secretBytes)
	t.Keys[id] = Key{Team: team, Hash: HashKey(key)}
	return id, key, nil
}

// keyPrefix is the prefix of all keys; the ID of the key and its secret follow.
const keyPrefix = "tsk-"

// splitKey returns the parts of a key.
func splitKey(key string) (id, secret string, ok bool) {
	rest, ok := strings.CutPrefix(key, keyPrefix)
	if !ok {
		return "", "", false
	}
	return strings.Cut(rest, "-")
}

// HashKey returns the stored form of a key. A single round of SHA-256 suffices
// because keys are random.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// HashMatches reports whether a key has the stored hash, in constant time.
func HashMatches(hash, key string) bool {
	return subtle.ConstantTimeCompare([]byte(hash), []byte(HashKey(key))) == 1
}

func randomHex(n int) string {
	buf := make([]byte, n)
	_, _ = rand.Read(buf)
	return hex.EncodeToString(buf)
}

// CheckError reports a value in a table that Check rejects.
type CheckError struct {
	Table   string
	Row     string
	Key     string
	Value   string
	Allowed string
}

// Error implements error.
func (e *CheckError) Error() string {
	return fmt.Sprintf("table %s: row %s: key %s: value %q: allowed: %s", e.Table, e.Row, e.Key, e.Value, e.Allowed)
}

// Check rejects tables that contain invalid values or refer to missing rows.
// services lists the services that minions offer; nil skips their check.
func (t *Tables) Check(services []string) (err error) {
	defer Error.WrapP(&err)
	for _, name := range sortedKeys(t.Teams) {
		if err := checkTeam(name, t.Teams[name]); err != nil {
			return err
		}
	}
	for _, name := range sortedKeys(t.Pools) {
		if err := checkPool(name, t.Pools[name], services); err != nil {
			return err
		}
	}
	for _, name := range sortedKeys(t.Routes) {
		if !inifile.ValidName(name) {
			return &CheckError{"route", name, "name", name, inifile.NameRule}
		}
		if _, ok := t.Pools[t.Routes[name].Pool]; !ok {
			return &CheckError{"route", name, "pool", t.Routes[name].Pool, "a row of the pool table: " + strings.Join(sortedKeys(t.Pools), ", ")}
		}
	}
	for _, id := range sortedKeys(t.Keys) {
		if _, ok := t.Teams[t.Keys[id].Team]; !ok {
			return &CheckError{"key", id, "team", t.Keys[id].Team, "a row of the team table: " + strings.Join(sortedKeys(t.Teams), ", ")}
		}
	}
	return nil
}

// checkTeam checks one row of the team table.
func checkTeam(name string, team Team) error {
	if !inifile.ValidName(name) {
		return &CheckError{"team", name, "name", name, inifile.NameRule}
	}
	if !(team.Share > 0 && team.Share <= maxShare) {
		return &CheckError{"team", name, "share", fmt.Sprint(team.Share), fmt.Sprintf("a number above 0, at most %d", maxShare)}
	}
	if team.Limit < 0 {
		return &CheckError{"team", name, "limit", fmt.Sprint(team.Limit), "a whole number, at least 0"}
	}
	return nil
}

const (
	// maxShare bounds the share of a team.
	maxShare = 1_000_000
	// maxRetries bounds the retries of a pool.
	maxRetries = 1000
)

// checkPool checks one row of the pool table.
func checkPool(name string, pool Pool, services []string) error {
	if !inifile.ValidName(name) {
		return &CheckError{"pool", name, "name", name, inifile.NameRule}
	}
	switch pool.Kind {
	case KindRequest:
		if pool.Service == "" || services != nil && !slices.Contains(services, pool.Service) {
			return &CheckError{"pool", name, "service", pool.Service, "a service that minions serve: " + strings.Join(services, ", ")}
		}
		if pool.TimeoutMS <= 0 {
			return &CheckError{"pool", name, "timeout", fmt.Sprint(pool.Timeout()), "a positive duration for a pool of kind request"}
		}
	case KindService, KindBatch, KindGang:
		if pool.Service != "" {
			return &CheckError{"pool", name, "service", pool.Service, "empty unless the kind is request"}
		}
	default:
		return &CheckError{"pool", name, "kind", string(pool.Kind), "one of request, service, batch, gang"}
	}
	if pool.Retries < 0 || pool.Retries > maxRetries {
		return &CheckError{"pool", name, "retries", fmt.Sprint(pool.Retries), fmt.Sprintf("0 to %d", maxRetries)}
	}
	return nil
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// Load reads the team, pool and route tables from an INI file and checks them.
func Load(name string) (t *Tables, err error) {
	defer Error.WrapP(&err)
	file, err := inifile.Load(name)
	if err != nil {
		return nil, err
	}
	return decode(file)
}

// Parse reads tables from the contents of an INI file; name appears in errors.
func Parse(name string, data []byte) (t *Tables, err error) {
	defer Error.WrapP(&err)
	file, err := inifile.Parse(name, data)
	if err != nil {
		return nil, err
	}
	return decode(file)
}

// decode converts the sections of an INI file to tables. A team without a limit
// gets the highest one.
func decode(file *inifile.File) (t *Tables, err error) {
	const maxLimit, maxTimeout = 1_000_000, 365 * 24 * time.Hour
	t = New()
	for _, name := range file.Names("team") {
		sec := file.Section("team " + name)
		t.Teams[name] = Team{
			Share: sec.Float("share", 1, 0.001, maxShare),
			Limit: sec.Int("limit", maxLimit, 0, maxLimit),
		}
	}
	for _, name := range file.Names("pool") {
		sec := file.Section("pool " + name)
		pool := Pool{
			Kind:        Kind(sec.Choice("kind", "", "request", "service", "batch", "gang")),
			Service:     sec.String("service", ""),
			Retries:     int(sec.Int("retries", 0, 0, maxRetries)),
			Idempotent:  sec.Bool("idempotent", true),
			Preemptible: sec.Bool("preemptible", false),
			Urgent:      sec.Bool("urgent", false),
			TimeoutMS:   sec.Duration("timeout", 0).Milliseconds(),
		}
		if pool.Timeout() > maxTimeout {
			sec.Fail("timeout", "at most 8760h")
		}
		for place := range strings.SplitSeq(sec.String("places", ""), ",") {
			if place = strings.TrimSpace(place); place != "" {
				pool.Places = append(pool.Places, place)
			}
		}
		t.Pools[name] = pool
	}
	for _, name := range file.Names("route") {
		sec := file.Section("route " + name)
		pool := sec.String("pool", "")
		if _, ok := t.Pools[pool]; !ok {
			sec.Fail("pool", "a pool of this file: "+strings.Join(sortedKeys(t.Pools), ", "))
		}
		t.Routes[name] = Route{Pool: pool}
	}
	if err := file.Check(); err != nil {
		return nil, err
	}
	return t, t.Check(nil)
}

// Diff lists the rows in which b differs from a, one line per row. It excludes
// the keys.
func Diff(a, b *Tables) (lines []string) {
	lines = append(lines, diffRows("team", a.Teams, b.Teams)...)
	lines = append(lines, diffRows("pool", a.Pools, b.Pools)...)
	return append(lines, diffRows("route", a.Routes, b.Routes)...)
}

// diffRows lists the rows that were removed (-), added (+) or changed (~).
func diffRows[V any](table string, a, b map[string]V) (lines []string) {
	for _, name := range sortedKeys(a) {
		if _, ok := b[name]; !ok {
			lines = append(lines, fmt.Sprintf("- %s %s", table, name))
		}
	}
	for _, name := range sortedKeys(b) {
		before, ok := a[name]
		switch {
		case !ok:
			lines = append(lines, fmt.Sprintf("+ %s %s %+v", table, name, b[name]))
		case fmt.Sprintf("%+v", before) != fmt.Sprintf("%+v", b[name]):
			lines = append(lines, fmt.Sprintf("~ %s %s %+v -> %+v", table, name, before, b[name]))
		}
	}
	return lines
}
