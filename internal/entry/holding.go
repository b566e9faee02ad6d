package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/hostlist"
	"turmericspread.org/turmericspread/internal/job"
	"turmericspread.org/turmericspread/internal/minion"
	"turmericspread.org/turmericspread/internal/rack"
	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/shard"
	"turmericspread.org/turmericspread/internal/slot"
	"turmericspread.org/turmericspread/internal/store"
)

// syncShards creates and removes the state of shards as their ownership changes.
func (e *Entry) syncShards(now time.Time) {
	owned := map[shard.ID]int64{}
	if len(e.hostList) == 0 {
		// Without the host list the work running on a shard cannot be
		// determined.
		return
	}
	for _, id := range e.tracker.OwnedShards() {
		phase, epoch := e.tracker.Phase(id, now)
		switch phase {
		case shard.PhaseOwned:
			owned[id] = epoch
			e.openShard(id, epoch, now)
		case shard.PhaseReleasing:
			owned[id] = epoch
			if e.drainShard(id) {
				e.tracker.MarkDrained(id)
			}
		}
	}
	e.dropShards(owned)
	e.updateLeaseState(now)
}

// updateLeaseState logs when the lease on the shards of this process expires or
// is restored.
func (e *Entry) updateLeaseState(now time.Time) {
	ok := now.Before(e.tracker.LeaseEnd())
	if ok == e.leaseValid {
		return
	}
	e.leaseValid = ok
	if ok {
		event.LeaseRestored.Log(e.Log).Send()
	} else {
		event.LeaseExpired.Log(e.Log).Send()
	}
}

// openShard creates the state of an owned shard, or puts existing state back
// into service.
func (e *Entry) openShard(id shard.ID, epoch int64, now time.Time) {
	switch id.Kind() {
	case shard.KindRack:
		if r, ok := e.racks[id]; ok && r.Epoch == epoch {
			r.Undrain()
			return
		}
		e.racks[id] = e.newRack(id, epoch)
		e.racks[id].SetHosts(e.hostsByShard[id], now)
	case shard.KindMinions:
		if set, ok := e.sets[id]; ok {
			set.Reopen(epoch)
			return
		}
		e.sets[id] = e.newSet(id, epoch)
		e.sets[id].SetHosts(e.hostsByShard[id], now)
	case shard.KindTeam:
		if q, ok := e.queues[id.Team()]; ok && q.Epoch == epoch {
			q.Undrain()
			return
		}
		e.queues[id.Team()] = e.newQueue(id.Team(), epoch)
	}
	event.ShardOwned.Log(e.Log).Str("shard", string(id)).Int64("epoch", epoch).Send()
}

// drainShard drains a shard that is being released and reports whether no work
// of it is in flight.
func (e *Entry) drainShard(id shard.ID) (drained bool) {
	switch id.Kind() {
	case shard.KindRack:
		r, ok := e.racks[id]
		return !ok || r.Drain()
	case shard.KindMinions:
		set, ok := e.sets[id]
		return !ok || set.Drain()
	}
	q, ok := e.queues[id.Team()]
	return !ok || q.Drain()
}

// dropShards removes the state of shards that this process no longer owns. A
// set of minions remains until its requests in flight have ended.
func (e *Entry) dropShards(owned map[shard.ID]int64) {
	for id, r := range e.racks {
		if epoch, ok := owned[id]; !ok || epoch != r.Epoch {
			delete(e.racks, id)
			event.ShardReleased.Log(e.Log).Str("shard", string(id)).Send()
		}
	}
	for id, set := range e.sets {
		if _, ok := owned[id]; ok {
			continue
		}
		set.Drain()
		if set.InFlight() == 0 {
			delete(e.sets, id)
			event.ShardReleased.Log(e.Log).Str("shard", string(id)).Send()
		}
	}
	for team, q := range e.queues {
		id := shard.TeamID(team)
		if epoch, ok := owned[id]; !ok || epoch != q.Epoch {
			q.Close()
			delete(e.queues, team)
			event.ShardReleased.Log(e.Log).Str("shard", string(id)).Send()
		}
	}
}

// newRack returns the state of a rack that this process owns.
func (e *Entry) newRack(id shard.ID, epoch int64) *rack.Rack {
	return &rack.Rack{
		ID: id, Epoch: epoch, Log: e.Log, TaskLease: e.Settings.Timing.TaskLease, Checks: e.checks,
		Now: time.Now, Post: e.loop.Post, Go: func(fn func()) { go fn() },
		Connect:  func(host hostlist.Host) rack.Worker { return e.workers.At(host.Address, host.Name) },
		MayStart: func(now time.Time) bool { return e.tracker.MayStartAt(id, epoch, now) },
		LeaseEnd: e.tracker.LeaseEnd,
		TeamEpoch: func(team string) int64 {
			_, epoch := e.tracker.Owner(shard.TeamID(team))
			return epoch
		},
		Deliver: e.deliver,
	}
}

// newSet returns the state of a set of minions that this process owns.
func (e *Entry) newSet(id shard.ID, epoch int64) *slot.Set {
	return &slot.Set{
		ID: id, Epoch: epoch, Log: e.Log, Checks: e.checks,
		Now: time.Now, Post: e.loop.Post, Go: func(fn func()) { go fn() },
		Connect: func(host hostlist.Host) slot.Minion {
			m := minion.New(host.Address, host.Name, host.Connections)
			if e.Network.Minion != nil {
				m.RoundTrip = e.Network.Minion
			}
			return m
		},
		MayStart: func(now time.Time) bool { return e.tracker.MayStart(id, now) },
		LeaseEnd: e.tracker.LeaseEnd,
	}
}

// newQueue returns the state of a team's queue that this process owns.
func (e *Entry) newQueue(team string, epoch int64) *job.Queue {
	id := shard.TeamID(team)
	return &job.Queue{
		Team: team, Epoch: epoch, Log: e.Log, Checks: e.checks, Now: time.Now,
		MayStart:   func(now time.Time) bool { return e.tracker.MayStartAt(id, epoch, now) },
		MayFinish:  func(now time.Time) bool { return e.tracker.MayFinishAt(id, epoch, now) },
		StoreFresh: func(now time.Time) bool { return now.Sub(e.tracker.LastStoreReply()) < storeUnavailableAfter },
		Tables:     e.tables.Load,
		Hosts: func() (workers []hostlist.Host) {
			for _, host := range e.hostList {
				if host.Kind == hostlist.KindWorker {
					workers = append(workers, host)
				}
			}
			return workers
		},
		Racks:    e.rackSummaries,
		AllRacks: e.allRacks,
		RackEpoch: func(id shard.ID) int64 {
			_, epoch := e.tracker.Owner(id)
			return epoch
		},
		WithinShare:      func(used, more resource.Vector, urgent bool) bool { return e.withinShare(team, used, more, urgent) },
		ShareToRelease:   func(used resource.Vector) float64 { return e.shareToRelease(team, used) },
		DominantFraction: func(v resource.Vector) float64 { return v.Dominant(e.currentFleet(time.Now()).total) },
		Assign:           e.assignCall,
		StartReserved:    e.startReservedCall,
		Stop:             e.stopCall,
		Report:           e.reportCall,
		Load:             func(done func([]job.Segment, error)) { e.loadSegments(team, done) },
		Save:             func(seg job.Segment, done func(job.SaveResult)) { e.saveSegment(team, seg, done) },
	}
}

// allRacks lists the racks of the cell.
func (e *Entry) allRacks() (racks []shard.ID) {
	for _, id := range e.shards {
		if id.Kind() == shard.KindRack {
			racks = append(racks, id)
		}
	}
	return racks
}

// jobPrefix returns the prefix of the store keys of a team's segments.
func jobPrefix(team string) string { return "jobs/" + team + "/" }

// segmentKey returns the store key of a segment.
func segmentKey(team string, number int) string {
	return fmt.Sprintf("%s%08d", jobPrefix(team), number)
}

// loadSegments reads all segments of a team and passes them to done on the
// control goroutine.
func (e *Entry) loadSegments(team string, done func([]job.Segment, error)) {
	go func() {
		segments, err := e.readSegments(team)
		e.loop.Post(func() { done(segments, err) })
	}()
}

// readSegments reads all segments of a team from the store.
func (e *Entry) readSegments(team string) (segments []job.Segment, err error) {
	defer Error.WrapP(&err)
	answer, err := e.store.List(context.Background(), jobPrefix(team))
	if err != nil {
		return nil, err
	}
	for _, entry := range answer.Entries {
		seg, err := decodeSegment(entry)
		if err != nil {
			return nil, err
		}
		segments = append(segments, seg)
	}
	return segments, nil
}

// decodeSegment decodes a segment and checks that its number matches its key.
func decodeSegment(entry store.Entry) (seg job.Segment, err error) {
	if err := json.Unmarshal(entry.Value, &seg); err != nil {
		return job.Segment{}, errs.New("key %s: %v", entry.Key, err)
	}
	if !strings.HasSuffix(entry.Key, fmt.Sprintf("%08d", seg.Number)) {
		return job.Segment{}, errs.New("key %s holds segment %d", entry.Key, seg.Number)
	}
	seg.Revision = entry.Revision
	return seg, nil
}

// saveSegment writes a segment and passes the result to done on the control
// goroutine. After a conflict it reads the segment that the store holds.
func (e *Entry) saveSegment(team string, seg job.Segment, done func(job.SaveResult)) {
	go func() {
		result := e.putSegment(team, seg)
		e.loop.Post(func() { done(result) })
	}()
}

// putSegment writes a segment on condition of its revision. If another write
// came first, the result has the segment that the store holds.
func (e *Entry) putSegment(team string, seg job.Segment) (result job.SaveResult) {
	ctx := context.Background()
	key := segmentKey(team, seg.Number)
	value, err := json.Marshal(seg)
	if err != nil {
		return job.SaveResult{Err: err}
	}
	revision, err := e.store.Put(ctx, key, value, seg.Revision)
	if err == nil {
		return job.SaveResult{Revision: revision}
	}
	if store.IsUnknown(err) {
		return job.SaveResult{Err: err}
	}
	entry, err := e.store.Get(ctx, key)
	if err != nil {
		return job.SaveResult{Err: err}
	}
	found, err := decodeSegment(entry)
	if err != nil {
		return job.SaveResult{Err: err}
	}
	return job.SaveResult{Conflict: &found}
}
