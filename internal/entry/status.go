package entry

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/app"

	"turmericspread.org/turmericspread/internal/config"
	"turmericspread.org/turmericspread/internal/hostlist"
	"turmericspread.org/turmericspread/internal/httpserve"
	"turmericspread.org/turmericspread/internal/invariant"
	"turmericspread.org/turmericspread/internal/job"
	"turmericspread.org/turmericspread/internal/rack"
	"turmericspread.org/turmericspread/internal/shard"
	"turmericspread.org/turmericspread/internal/slot"
)

// MemberStatus describes one entry process.
type MemberStatus struct {
	Info
	State string `json:"state"`
}

// ShardStatus describes the ownership of one shard.
type ShardStatus struct {
	Shard shard.ID       `json:"shard"`
	Owner shard.Instance `json:"owner"`
	Epoch int64          `json:"epoch"`
	Phase shard.Phase    `json:"phase"`
}

// TeamStatus describes a team's usage in relation to its fair share and limit.
type TeamStatus struct {
	Team    string  `json:"team"`
	Share   float64 `json:"share"`
	Limit   int64   `json:"limit"`
	Running int64   `json:"running"`
	Waiting int64   `json:"waiting"`
	// Used is the team's dominant fraction of the cell's capacity.
	Used float64 `json:"used"`
}

// TargetStatus describes a target that receives no work, and the reason.
type TargetStatus struct {
	Name   string `json:"name"`
	Reason string `json:"reason"`
}

// Status describes the cell as observed by one process. LeaseMS is how long this
// process may still start work in its shards, in milliseconds.
type Status struct {
	Instance      shard.Instance `json:"instance"`
	ConfigVersion int64          `json:"config-version"`
	StoreUp       bool           `json:"store-up"`
	LeaseMS       int64          `json:"right-ms"`
	StoreReads    int64          `json:"store-reads"`
	StoreWrites   int64          `json:"store-writes"`
	Members       []MemberStatus `json:"members"`
	Shards        []ShardStatus  `json:"shards"`
	Teams         []TeamStatus   `json:"teams"`
	OutOfService  []TargetStatus `json:"out-of-service"`
}

// Dump describes the whole control state of a process, without the keys.
type Dump struct {
	Status     Status                  `json:"status"`
	Invariants []invariant.Count       `json:"invariants"`
	Racks      []rack.Dump             `json:"racks"`
	Sets       []slot.Summary          `json:"sets"`
	Queues     []job.Dump              `json:"queues"`
	Hosts      []hostlist.Host         `json:"hosts"`
	Teams      map[string]config.Team  `json:"team-table"`
	Pools      map[string]config.Pool  `json:"pool-table"`
	Routes     map[string]config.Route `json:"route-table"`
}

// apiStatus returns the cell as observed by this process.
func (e *Entry) apiStatus(ctx context.Context, c *app.RequestContext) {
	var status Status
	if err := e.loop.Call(ctx, func() { status = e.status(time.Now()) }); err != nil {
		reject(c, 503, "busy", err.Error())
		return
	}
	httpserve.JSON(c, 200, status)
}

// apiDump returns the control state of this process.
func (e *Entry) apiDump(ctx context.Context, c *app.RequestContext) {
	dump, err := e.Dump(ctx)
	if err != nil {
		reject(c, 503, "busy", err.Error())
		return
	}
	httpserve.JSON(c, 200, dump)
}

// Dump returns the whole control state. It excludes the keys.
func (e *Entry) Dump(ctx context.Context) (dump Dump, err error) {
	defer Error.WrapP(&err)
	err = e.loop.Call(ctx, func() {
		now := time.Now()
		tables := e.tables.Load()
		dump = Dump{
			Status: e.status(now), Invariants: e.checks.Counts(), Hosts: e.hostList,
			Teams: tables.Teams, Pools: tables.Pools, Routes: tables.Routes,
		}
		for _, id := range slices.Sorted(maps.Keys(e.racks)) {
			dump.Racks = append(dump.Racks, e.racks[id].Dump())
		}
		for _, id := range slices.Sorted(maps.Keys(e.sets)) {
			dump.Sets = append(dump.Sets, e.sets[id].Summary(now))
		}
		for _, team := range slices.Sorted(maps.Keys(e.queues)) {
			dump.Queues = append(dump.Queues, e.queues[team].Dump())
		}
	})
	return dump, err
}

// status describes the cell as observed by this process.
func (e *Entry) status(now time.Time) Status {
	status := Status{
		Instance: e.info.Instance, ConfigVersion: e.tables.Load().Version, StoreUp: e.storeOK,
		LeaseMS:    max(0, e.tracker.LeaseEnd().Sub(now).Milliseconds()),
		StoreReads: e.store.Reads(), StoreWrites: e.store.Writes(),
		Members: []MemberStatus{{Info: e.info, State: "this"}},
	}
	for _, instance := range slices.Sorted(maps.Keys(e.members)) {
		m := e.members[instance]
		state := "live"
		switch {
		case !e.tracker.IsLive(instance, now):
			state = "silent"
		case m.leaving:
			state = "leaving"
		}
		status.Members = append(status.Members, MemberStatus{Info: m.info, State: state})
	}
	for _, id := range slices.Sorted(slices.Values(e.shards)) {
		owner, epoch := e.tracker.Owner(id)
		phase, _ := e.tracker.Phase(id, now)
		status.Shards = append(status.Shards, ShardStatus{id, owner, epoch, phase})
	}
	status.Teams = e.teamStatus()
	for _, host := range e.hostList {
		if host.Leaving() {
			status.OutOfService = append(status.OutOfService, TargetStatus{host.Name, "leaving"})
		}
	}
	for _, r := range e.racks {
		for name, reason := range r.OutOfService() {
			status.OutOfService = append(status.OutOfService, TargetStatus{name, reason})
		}
	}
	return status
}

// teamStatus describes all teams in the tables, by name.
func (e *Entry) teamStatus() (list []TeamStatus) {
	tables := e.tables.Load()
	total := e.currentFleet(time.Now()).total
	summaries := map[string]job.Summary{}
	for _, m := range e.members {
		for _, summary := range m.teams {
			summaries[summary.Team] = summary
		}
	}
	for team, q := range e.queues {
		summaries[team] = q.Summary()
	}
	for _, team := range slices.Sorted(maps.Keys(tables.Teams)) {
		summary := summaries[team]
		list = append(list, TeamStatus{
			Team: team, Share: tables.Teams[team].Share, Limit: tables.Teams[team].Limit,
			Running: summary.Running, Waiting: summary.Waiting, Used: summary.Used.Dominant(total),
		})
	}
	return list
}

// publish copies the counters kept by the clients into the metrics.
func (e *Entry) publish() {
	metrics.GetOrCreateCounter(fmt.Sprintf(`turmericspread_store_calls_total{entry=%q,kind="read"}`, e.info.Name)).Set(uint64(e.store.Reads()))
	metrics.GetOrCreateCounter(fmt.Sprintf(`turmericspread_store_calls_total{entry=%q,kind="write"}`, e.info.Name)).Set(uint64(e.store.Writes()))
	metrics.GetOrCreateCounter(fmt.Sprintf(`turmericspread_peer_calls_total{entry=%q}`, e.info.Name)).Set(uint64(e.peers.Calls()))
}
