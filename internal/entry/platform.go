package entry

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/config"
	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/hostlist"
	"turmericspread.org/turmericspread/internal/invariant"
	"turmericspread.org/turmericspread/internal/peer"
	"turmericspread.org/turmericspread/internal/shard"
	"turmericspread.org/turmericspread/internal/store"
)

const (
	// cellPrefix is the prefix of all keys that every process watches.
	cellPrefix = "cell/"
	// configKey is the key of the tables.
	configKey = "cell/config"
	// maxWatchWait bounds how long the store delays its response to a watch
	// without changes.
	maxWatchWait = time.Second
	// storeRetryInterval is the interval between two attempts while the store does
	// not respond.
	storeRetryInterval = 300 * time.Millisecond
	// storeUnavailableAfter is the time since its last response after which the store
	// counts as unavailable.
	storeUnavailableAfter = 3 * time.Second
)

// watchStore reads the cell's keys, registers this process and then follows
// changes. After an error it continues from the last revision.
func (e *Entry) watchStore(ctx context.Context) {
	revision := int64(-1)
	for ctx.Err() == nil {
		sentAt := time.Now()
		var answer store.Answer
		var err error
		if revision < 0 {
			answer, err = e.store.List(ctx, cellPrefix)
		} else {
			answer, err = e.store.Watch(ctx, cellPrefix, revision, maxWatchWait)
		}
		if err == nil && answer.Revision < revision {
			err = errs.New("revision went from %d back to %d", revision, answer.Revision)
		}
		if err != nil {
			e.loop.Post(func() { e.updateStoreState(false) })
			sleep(ctx, storeRetryInterval)
			continue
		}
		first := revision < 0
		revision = answer.Revision
		err = e.loop.Call(ctx, func() { e.applyStoreReply(answer, sentAt) })
		if first && err == nil {
			e.spawn(func() { e.register(ctx) })
		}
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// updateStoreState logs when the store becomes unavailable or available again.
func (e *Entry) updateStoreState(ok bool) {
	if ok != e.storeOK {
		e.storeOK = ok
		if ok {
			event.StoreUp.Log(e.Log).Send()
		} else {
			event.StoreDown.Log(e.Log).Send()
		}
	}
}

// applyStoreReply applies changed keys to the tables, the members and the
// tracker. sentAt is the time at which the call to the store was sent.
func (e *Entry) applyStoreReply(answer store.Answer, sentAt time.Time) {
	now := time.Now()
	e.updateStoreState(true)
	for _, entry := range answer.Entries {
		switch {
		case entry.Deleted:
		case entry.Key == configKey:
			e.applyConfig(entry)
		case strings.HasPrefix(entry.Key, memberPrefix):
			var info Info
			if json.Unmarshal(entry.Value, &info) == nil {
				e.addMember(info)
			}
		case strings.HasPrefix(entry.Key, shard.TablePrefix):
			var table shard.Table
			if json.Unmarshal(entry.Value, &table) == nil {
				e.tracker.Apply(entry.Key, entry.Revision, table, now)
			}
		}
	}
	e.tracker.RecordStoreReply(sentAt)
	e.recordInstances(now)
	e.storeLoaded = true
}

// applyConfig activates the tables of a store entry. Tables that cannot be
// decoded are logged and ignored.
func (e *Entry) applyConfig(entry store.Entry) {
	tables := config.New()
	if err := json.Unmarshal(entry.Value, tables); err != nil {
		event.ConfigRefused.Log(e.Log).Err(err).Send()
		return
	}
	e.configRevision = max(e.configRevision, entry.Revision)
	e.activateTables(tables)
}

// activateTables makes tables current unless their version is not newer.
func (e *Entry) activateTables(tables *config.Tables) {
	current := e.tables.Load()
	if tables.Version <= current.Version {
		return
	}
	e.tables.Store(tables)
	e.checks.Check(invariant.ConfigMonotonic, tables.Version > current.Version)
	event.ConfigApplied.Log(e.Log).Int64("version", tables.Version).Send()
	e.updateShards()
}

// fetchNewerTables fetches the tables of a peer that has a newer version.
func (e *Entry) fetchNewerTables(version int64, address string) {
	if version <= e.tables.Load().Version || e.fetchingTables {
		return
	}
	e.fetchingTables = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), e.Settings.Timing.SuspectAfter)
		defer cancel()
		reply, err := peer.Call[ConfigRequest, ConfigReply](ctx, e.peers, address, callConfig, &ConfigRequest{})
		e.loop.Post(func() {
			e.fetchingTables = false
			if err == nil && reply.Tables != nil {
				e.activateTables(reply.Tables)
			}
		})
	}()
}

// register writes this process's member key to the store, and retries until
// that succeeds.
func (e *Entry) register(ctx context.Context) {
	key := memberPrefix + e.info.Name
	value, err := json.Marshal(e.info)
	if err != nil {
		return
	}
	for ctx.Err() == nil {
		entry, err := e.store.Get(ctx, key)
		if err == nil && string(entry.Value) == string(value) {
			return
		}
		if err == nil {
			_, err = e.store.Put(ctx, key, value, entry.Revision)
		}
		if err == nil {
			return
		}
		sleep(ctx, storeRetryInterval)
	}
}

// pollHosts reads the host list periodically.
func (e *Entry) pollHosts(ctx context.Context) {
	down := false
	for ctx.Err() == nil {
		sentAt := time.Now()
		hosts, err := e.hosts.List(ctx)
		switch {
		case err == nil:
			down = false
			_ = e.loop.Call(ctx, func() { e.applyHosts(hosts, sentAt) })
		case !down:
			down = true
			event.HostListDown.Log(e.Log).Err(err).Send()
		}
		sleep(ctx, e.Settings.HostList.Poll)
	}
}

// applyHosts applies a new host list to the shards. sentAt is the time at which
// the list was requested.
func (e *Entry) applyHosts(hosts []hostlist.Host, sentAt time.Time) {
	now := time.Now()
	e.hostList = hosts
	e.hostsByShard = map[shard.ID][]hostlist.Host{}
	for _, host := range hosts {
		if id := shardOf(host); id != "" {
			e.hostsByShard[id] = append(e.hostsByShard[id], host)
		}
	}
	for id, r := range e.racks {
		r.SetHosts(e.hostsByShard[id], now)
	}
	for id, set := range e.sets {
		set.SetHosts(e.hostsByShard[id], now)
	}
	e.updateShards()
	e.checkHostList(hosts, sentAt)
}

// setsPerService is the number of shards into which the minions of a service in
// one data centre are divided.
const setsPerService = 4

// shardOf returns the shard that a target belongs to, or an empty ID for other
// kinds of hosts.
func shardOf(host hostlist.Host) shard.ID {
	switch host.Kind {
	case hostlist.KindWorker:
		return shard.ID(string(shard.KindRack) + "/" + host.Place + "/" + host.Rack)
	case hostlist.KindMinion:
		set := xxhash.Sum64String(host.Name) % setsPerService
		return shard.ID(string(shard.KindMinions) + "/" + host.Place + "/" + host.Service + "/" + string('a'+rune(set)))
	}
	return ""
}

// updateShards derives the shards of the cell from the host list and the teams.
func (e *Entry) updateShards() {
	e.shards = e.shards[:0:0]
	if len(e.hostList) == 0 {
		return
	}
	for id := range e.hostsByShard {
		e.shards = append(e.shards, id)
	}
	for team := range e.tables.Load().Teams {
		e.shards = append(e.shards, shard.TeamID(team))
	}
}

// planShards writes the changes of the shard tables that the tracker plans, and
// updates whether this process is ready to serve.
func (e *Entry) planShards(now time.Time) {
	if !e.storeLoaded || len(e.hostList) == 0 || now.Sub(e.started) < e.Settings.Timing.SuspectAfter {
		// A new process first waits for the heartbeats of the others, so that
		// it does not claim shards that they own.
		return
	}
	view := shard.View{Shards: e.shards, Members: e.liveMembers(now)}
	for _, write := range e.tracker.PlanWrites(view, now) {
		if !e.writesInFlight[write] {
			e.writeTable(write)
		}
	}
	e.ready.Store(!e.leaving && e.tables.Load().Version > 0)
}

// writeTable attempts one write of a shard table.
func (e *Entry) writeTable(write *shard.Write) {
	value, err := json.Marshal(write.Table)
	if err != nil {
		return
	}
	e.writesInFlight[write] = true
	event.TableWrite.Log(e.Log).Str("key", write.Key).Int64("revision", write.Revision).Strs("changes", write.Changes).Send()
	go func() {
		revision, err := e.store.Put(context.Background(), write.Key, value, write.Revision)
		if err != nil {
			// After a conflict the next watch response has the new table; if
			// the response was lost, the write is planned again.
			time.Sleep(storeRetryInterval)
		}
		e.loop.Post(func() {
			delete(e.writesInFlight, write)
			if err == nil {
				e.tracker.Apply(write.Key, revision, write.Table, time.Now())
			}
		})
	}()
}
