package tablecheck

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/config"
	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/work"
)

// newTables returns a configuration without faults.
func newTables() *work.Tables {
	return &work.Tables{
		Version: 2,
		Queues: []work.Queue{{
			Name: "q", Host: "h", Prefix: "/q/", Service: "p", Attempts: 3, Stretch: 1.5,
			Advice: &work.Advice{Decide: 390 * time.Millisecond, Each: 5600 * time.Microsecond, Valid: 8 * time.Second},
		}},
		Pools: map[string]work.Pool{"p": {Name: "p"}},
		Teams: map[string]work.Team{"t": {Name: "t", Keys: []string{"secret"}, Weight: 9, Maximum: resource.Vector{MilliCores: 8000, MemoryMB: 9000}}},
		Limits: work.Limits{
			HeaderBytes: 8192, BodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: time.Minute,
		},
	}
}

// TestCheck has one fault in each row, and fails if its rule is missing or another rule reports
// it too.
func TestCheck(t *testing.T) {
	setTeam := func(t *work.Tables, name string, change func(team *work.Team)) {
		team := t.Teams[name]
		change(&team)
		t.Teams[name] = team
	}
	tests := []struct {
		name   string
		change func(t *work.Tables)
		want   string
	}{
		{"no fault", func(*work.Tables) {}, ""},
		{"no limits", func(t *work.Tables) { t.Limits = work.Limits{} }, ""},
		{"version", func(t *work.Tables) { t.Version = 0 }, "error: version: 0 is not"},
		{"queue name", func(t *work.Tables) { t.Queues[0].Name = "" }, "error: queue : entry 1 has no name"},
		{"same name", func(t *work.Tables) { q := t.Queues[0]; q.Host = "other"; t.Queues = append(t.Queues, q) }, "error: queue q: an earlier"},
		{"host", func(t *work.Tables) { t.Queues[0].Host = "" }, "error: queue q: the host"},
		{"prefix", func(t *work.Tables) { t.Queues[0].Prefix = "q/" }, "error: queue q: path prefix"},
		{"route behind another", func(t *work.Tables) { q := t.Queues[0]; q.Name = "r"; t.Queues = append(t.Queues, q) }, "warning: queue r: no request matches: queue q"},
		{"longer prefix", func(t *work.Tables) {
			q := t.Queues[0]
			q.Name, q.Prefix = "r", "/q/r/"
			t.Queues = append(t.Queues, q)
		}, ""},
		{"service missing", func(t *work.Tables) { t.Queues[0].Service = ""; t.Pools = nil }, "error: queue q: the service is missing"},
		{"service unknown", func(t *work.Tables) { t.Pools = nil }, `error: queue q: unknown service "p"`},
		{"priority", func(t *work.Tables) { t.Queues[0].Priority = -1 }, "error: queue q: priority -1 is negative"},
		{"attempts", func(t *work.Tables) { t.Queues[0].Attempts = 0 }, "warning: queue q: attempts is 0"},
		{"many attempts", func(t *work.Tables) { t.Queues[0].Attempts = 1e6 }, "warning: queue q: attempts 1e+06 is above"},
		{"stretch", func(t *work.Tables) { t.Queues[0].Stretch = 0.9 }, "warning: queue q: stretch 0.9"},
		{"target", func(t *work.Tables) { t.Queues[0].Target = -1 }, "error: queue q: target latency"},
		{"timeout", func(t *work.Tables) { t.Queues[0].Timeout = 1000 * time.Hour }, "warning: queue q: timeout"},
		{"tickets for one", func(t *work.Tables) { t.Queues[0].Advice.Valid = 395 * time.Millisecond }, "error: queue q: tickets"},
		{"tickets for thirty", func(t *work.Tables) { t.Queues[0].Advice.Valid = 500 * time.Millisecond }, "warning: queue q: tickets"},
		{"pool without a queue", func(t *work.Tables) { t.Pools["idle"] = work.Pool{} }, "warning: pool idle: no queue"},
		{"pool on standby", func(t *work.Tables) { t.Pools["idle"] = work.Pool{Standby: true} }, ""},
		{"weight", func(t *work.Tables) { setTeam(t, "t", func(t *work.Team) { t.Weight = -1 }) }, "error: team t: weight"},
		{"maximum", func(t *work.Tables) { setTeam(t, "t", func(t *work.Team) { t.Maximum.MemoryMB = -1 }) }, "error: team t: maximum: memory"},
		{"maximum in cores", func(t *work.Tables) { setTeam(t, "t", func(t *work.Team) { t.Maximum.MilliCores = 8 }) }, "warning: team t: maximum: cores 8 is below one task"},
		{"no key", func(t *work.Tables) { t.Teams["u"] = work.Team{} }, "warning: team u: no key"},
		{"empty key", func(t *work.Tables) { t.Teams["u"] = work.Team{Keys: []string{""}} }, "error: team u: a key is empty"},
		{"key of two teams", func(t *work.Tables) { t.Teams["u"] = work.Team{Keys: []string{"secret"}} }, "error: team u: key #2bb80d53 is also held by team t"},
		{"key twice", func(t *work.Tables) { setTeam(t, "t", func(t *work.Team) { t.Keys = append(t.Keys, "secret") }) }, "warning: team t: key #2bb80d53 is listed twice"},
		{"no keys at all", func(t *work.Tables) { t.Teams = nil }, "warning: queues: no team has a key"},
		{"body", func(t *work.Tables) { t.Limits.BodyBytes = 3999 }, "warning: limits: body bytes 3999"},
		{"header", func(t *work.Tables) { t.Limits.HeaderBytes = 200 }, "warning: limits: header bytes 200"},
		{"header timeout", func(t *work.Tables) { t.Limits.HeaderTimeout = time.Hour }, "warning: limits: header timeout"},
		{"no queues", func(t *work.Tables) { t.Queues, t.Pools = nil, nil }, "warning: queues: there are none"},
		{"large stretch", func(t *work.Tables) { t.Queues[0].Stretch = 1e9 }, "warning: queue q: stretch 1e+09 is above"},
		{"decide", func(t *work.Tables) { t.Queues[0].Advice.Decide = -1 }, "error: queue q: advice: decide"},
		{"each", func(t *work.Tables) { t.Queues[0].Advice.Each = -1 }, "error: queue q: advice: each"},
		{"valid", func(t *work.Tables) { t.Queues[0].Advice.Valid = 1000 * time.Hour }, "warning: queue q: advice: valid"},
		{"negative body", func(t *work.Tables) { t.Limits.BodyBytes = -1 }, "error: limits: body bytes -1"},
		{"negative header", func(t *work.Tables) { t.Limits.HeaderBytes = -1 }, "error: limits: header bytes -1"},
		{"negative header timeout", func(t *work.Tables) { t.Limits.HeaderTimeout = -1 }, "error: limits: header timeout"},
		{"negative limit", func(t *work.Tables) { t.Limits.IdleTimeout = -1 }, "error: limits: idle timeout"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			tables := newTables()
			tc.change(tables)
			assertFindings(t, Check(tables), tc.want)
		})
	}
}

// assertFindings checks that there is exactly one finding and that it starts with want, or none.
func assertFindings(t *testing.T, found []Finding, want string) {
	t.Helper()
	if want == "" {
		assert.Equal(t, len(found), 0, "%v", found)
		return
	}
	assert.Equal(t, len(found), 1, "%v", found)
	assert.Assert(t, strings.HasPrefix(found[0].String(), want), found[0].String())
}

// TestErrorsComeFirst guards the exit status, which follows from the first finding.
func TestErrorsComeFirst(t *testing.T) {
	tables := newTables()
	tables.Queues[0].Attempts, tables.Limits.IdleTimeout = 0, -1
	found := Check(tables)
	assert.Equal(t, found[0].Level, Error)
	assert.Equal(t, found[len(found)-1].Level, Warning)
}

// TestDiff guards against a difference that is not listed, and against a key in the list.
func TestDiff(t *testing.T) {
	after := newTables()
	after.Version = 3
	after.Queues[0].Attempts, after.Queues[0].Advice = 5, nil
	after.Queues = append(after.Queues, work.Queue{Name: "new"})
	after.Pools = map[string]work.Pool{"p": {Name: "p", Standby: true}}
	after.Teams = map[string]work.Team{"t": {Name: "t", Keys: []string{"other"}, Weight: 10, Maximum: newTables().Teams["t"].Maximum}}
	after.Limits.BodyBytes = 5000
	before := newTables()
	before.Queues = append(before.Queues, work.Queue{Name: "old"})
	changes, found := Diff(before, after)
	assert.DeepEqual(t, changes, []string{
		"~ queue q, attempts 3 -> 5, advice {Decide:390ms Each:5.6ms Valid:8s} -> none", "+ queue new", "- queue old",
		"~ pool p, standby false -> true", "~ team t, weight 9 -> 10, - key #2bb80d53, + key #d9298a10", "~ limits, body bytes 1048576 -> 5000",
	})
	assert.Equal(t, len(found), 0)
	after.Version = 2
	_, found = Diff(before, after)
	assertFindings(t, found, "error: version: 2 is not above 2")
	changes, found = Diff(before, before)
	assert.Equal(t, len(changes)+len(found), 0)
}

// TestCheckConfig has one fault in each row.
func TestCheckConfig(t *testing.T) {
	tests := []struct {
		name   string
		change func(t *config.Tables)
		want   string
	}{
		{"no fault", func(*config.Tables) {}, ""},
		{"unknown pool", func(t *config.Tables) { t.Routes["s"] = config.Route{Pool: "none"} }, "error: route s: "},
		{"limit", func(t *config.Tables) { t.Teams["t"] = config.Team{Share: 1} }, "warning: team t: limit is 0"},
		{"no route", func(t *config.Tables) { t.Pools["idle"] = config.Pool{Kind: config.KindBatch} }, "warning: pool idle: no route"},
		{"one place unknown", func(t *config.Tables) {
			t.Pools["p"] = config.Pool{Kind: config.KindBatch, Places: []string{"graz", "gratz"}}
		}, `warning: pool p: no worker is in the data centres ["gratz"]`},
		{"all places unknown", func(t *config.Tables) {
			t.Pools["p"] = config.Pool{Kind: config.KindBatch, Places: []string{"gratz"}}
		}, "error: pool p: no worker is in any"},
		{"long request", func(t *config.Tables) {
			t.Pools["p"] = config.Pool{Kind: config.KindRequest, Service: "s", TimeoutMS: 1e9}
		}, "warning: pool p: timeout"},
		{"negative timeout", func(t *config.Tables) { t.Pools["p"] = config.Pool{Kind: config.KindBatch, TimeoutMS: -1} }, "error: pool p: timeout"},
		{"key of two teams", func(t *config.Tables) {
			t.Keys["a"], t.Keys["b"] = config.Key{Team: "t", Hash: "x"}, config.Key{Team: "u", Hash: "x"}
		}, "error: key b: teams t and u"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			tables := config.New()
			tables.Teams["t"], tables.Teams["u"] = config.Team{Share: 1, Limit: 1}, config.Team{Share: 1, Limit: 1}
			tables.Pools["p"] = config.Pool{Kind: config.KindBatch, Places: []string{"graz"}}
			tables.Routes["r"] = config.Route{Pool: "p"}
			tc.change(tables)
			assertFindings(t, CheckConfig(tables, Cell{Places: []string{"graz"}}), tc.want)
		})
	}
}
