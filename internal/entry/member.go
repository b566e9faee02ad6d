package entry

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/hostlist"
	"turmericspread.org/turmericspread/internal/job"
	"turmericspread.org/turmericspread/internal/peer"
	"turmericspread.org/turmericspread/internal/rack"
	"turmericspread.org/turmericspread/internal/shard"
	"turmericspread.org/turmericspread/internal/slot"
)

// member is the last observed state of another entry process.
type member struct {
	info              Info
	leaving           bool
	working           bool // its lease to start work is valid
	offline           bool // the store does not respond to it
	heartbeatInFlight bool
	unresponsive      bool
	lastReceived      time.Time // when its last heartbeat arrived
	racks             []rack.Summary
	sets              []slot.Summary
	teams             []job.Summary
}

// memberPrefix is the prefix of the store keys whose values are of type Info.
const memberPrefix = "cell/member/"

// addMember adds a process that the store, a heartbeat or another member names.
func (e *Entry) addMember(info Info) {
	if info.Instance == "" || info.PeerAddress == e.info.PeerAddress || e.tracker.IsGone(info.Instance) {
		return
	}
	if _, ok := e.members[info.Instance]; ok {
		return
	}
	e.members[info.Instance] = &member{info: info}
	e.tracker.AddPeer(info.Instance)
}

// markGone records that a process is confirmed terminated.
func (e *Entry) markGone(instance shard.Instance) {
	if e.tracker.IsGone(instance) {
		return
	}
	e.tracker.RecordGone(instance)
	delete(e.members, instance)
	event.MemberGone.Log(e.Log).Str("instance", string(instance)).Send()
}

// sendHeartbeats sends a heartbeat to every member and to seeds that are not
// members yet.
func (e *Entry) sendHeartbeats(ctx context.Context, now time.Time) {
	base := e.newHeartbeat(now)
	addresses := map[string]bool{}
	for _, m := range e.members {
		addresses[m.info.PeerAddress] = true
		if !m.heartbeatInFlight {
			e.sendHeartbeat(ctx, m, base, now)
		}
		e.logResponsiveness(m, now)
	}
	for _, seed := range e.Settings.Entry.Peers {
		if !addresses[seed] && seed != e.info.PeerAddress {
			e.contactSeed(ctx, seed, base, now)
		}
	}
}

// logResponsiveness records and logs when a member becomes unresponsive or
// responds again.
func (e *Entry) logResponsiveness(m *member, now time.Time) {
	unresponsive := !e.tracker.IsLive(m.info.Instance, now)
	if unresponsive && !m.unresponsive {
		event.MemberUnresponsive.Log(e.Log).Str("instance", string(m.info.Instance)).Send()
	}
	if !unresponsive && m.unresponsive {
		event.MemberJoined.Log(e.Log).Str("instance", string(m.info.Instance)).Send()
	}
	m.unresponsive = unresponsive
}

// newHeartbeat describes the current state of this process.
func (e *Entry) newHeartbeat(now time.Time) Heartbeat {
	heartbeat := Heartbeat{
		From:          e.info,
		Leaving:       e.leaving,
		Revisions:     e.tracker.Revisions(),
		ConfigVersion: e.tables.Load().Version,
	}
	heartbeat.Racks, heartbeat.Sets, heartbeat.Teams = e.ownSummaries(now)
	heartbeat.Working = now.Before(e.tracker.LeaseEnd())
	heartbeat.Connected = now.Sub(e.tracker.LastStoreReply()) < storeUnavailableAfter
	for instance, m := range e.members {
		heartbeat.Members = append(heartbeat.Members, m.info)
		if m.working && now.Sub(m.lastReceived) < e.Settings.Timing.SuspectAfter/2 {
			heartbeat.Heard = append(heartbeat.Heard, instance)
		}
	}
	return heartbeat
}

// ownSummaries returns the summaries of the shards of this process.
func (e *Entry) ownSummaries(now time.Time) (racks []rack.Summary, sets []slot.Summary, teams []job.Summary) {
	for _, id := range slices.Sorted(maps.Keys(e.racks)) {
		racks = append(racks, e.racks[id].Summary())
	}
	for _, id := range slices.Sorted(maps.Keys(e.sets)) {
		sets = append(sets, e.sets[id].Summary(now))
	}
	for _, team := range slices.Sorted(maps.Keys(e.queues)) {
		teams = append(teams, e.queues[team].Summary())
	}
	return racks, sets, teams
}

// sendHeartbeat sends a heartbeat to a member. The heartbeat grants the member
// permission to claim shards of this process, and the tracker must record the
// grant before it is sent.
func (e *Entry) sendHeartbeat(ctx context.Context, m *member, heartbeat Heartbeat, now time.Time) {
	e.tracker.GrantClaims(m.info.Instance)
	heartbeat.Grant = true
	m.heartbeatInFlight = true
	address := m.info.PeerAddress
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, e.Settings.Timing.SuspectAfter)
		defer cancel()
		reply, err := peer.Call[Heartbeat, HeartbeatReply](callCtx, e.peers, address, callHeartbeat, &heartbeat)
		e.loop.Post(func() {
			m.heartbeatInFlight = false
			if err == nil {
				e.handleHeartbeatReply(m, now, reply)
			}
		})
	}()
}

// handleHeartbeatReply processes a member's reply to a heartbeat sent at sentAt.
func (e *Entry) handleHeartbeatReply(m *member, sentAt time.Time, reply *HeartbeatReply) {
	e.markReplacedGone(m.info.PeerAddress, reply.Instance, sentAt)
	if reply.Instance != m.info.Instance {
		e.markGone(m.info.Instance)
		return
	}
	e.tracker.RecordReply(m.info.Instance, sentAt, reply.Clear, time.Now())
	e.fetchNewerTables(reply.ConfigVersion, m.info.PeerAddress)
}

// contactSeed sends a heartbeat to an address from the settings, so that its
// process discovers this one.
func (e *Entry) contactSeed(ctx context.Context, address string, heartbeat Heartbeat, now time.Time) {
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, e.Settings.Timing.SuspectAfter)
		defer cancel()
		reply, err := peer.Call[Heartbeat, HeartbeatReply](callCtx, e.peers, address, callHeartbeat, &heartbeat)
		if err != nil {
			return
		}
		e.loop.Post(func() {
			e.markReplacedGone(address, reply.Instance, now)
			e.fetchNewerTables(reply.ConfigVersion, address)
		})
	}()
}

// handleHeartbeat processes a heartbeat of another process and replies to it.
func (e *Entry) handleHeartbeat(ctx context.Context, heartbeat *Heartbeat) (reply *HeartbeatReply, err error) {
	err = e.loop.Call(ctx, func() {
		now := time.Now()
		e.addMember(heartbeat.From)
		if m, ok := e.members[heartbeat.From.Instance]; ok {
			e.applyHeartbeat(m, heartbeat, now)
			e.tracker.RecordObservedRevisions(heartbeat.From.Instance, heartbeat.Revisions)
		}
		for _, info := range heartbeat.Members {
			e.addMember(info)
		}
		if heartbeat.Grant && heartbeat.From.Instance != e.info.Instance {
			e.tracker.RecordGrant(heartbeat.From.Instance)
		}
		e.fetchNewerTables(heartbeat.ConfigVersion, heartbeat.From.PeerAddress)
		reply = &HeartbeatReply{
			Instance:      e.info.Instance,
			Clear:         e.tracker.NoClaimsAgainst(heartbeat.From.Instance, heartbeat.Revisions),
			ConfigVersion: e.tables.Load().Version,
		}
	})
	return reply, err
}

// applyHeartbeat updates a member from its heartbeat. The plans of the queues
// are discarded, because they are based on older rack summaries.
func (e *Entry) applyHeartbeat(m *member, heartbeat *Heartbeat, now time.Time) {
	m.lastReceived, m.leaving = now, heartbeat.Leaving
	m.working, m.offline = heartbeat.Working, !heartbeat.Connected
	for _, instance := range heartbeat.Heard {
		e.tracker.RecordConfirmedLive(instance, now)
	}
	m.racks, m.sets, m.teams = heartbeat.Racks, heartbeat.Sets, heartbeat.Teams
	for _, q := range e.queues {
		q.ForgetPlan()
	}
}

// markReplacedGone marks instances as gone whose address now belongs to another
// instance. A reply counts only if its call was sent after the instance was
// first observed; an older reply may come from an earlier instance at the same address.
func (e *Entry) markReplacedGone(address string, answered shard.Instance, sentAt time.Time) {
	for _, instance := range e.tracker.KnownOwners() {
		since, ok := e.firstSeen[instance]
		if ok && instance.Address() == address && instance != answered && sentAt.After(since) {
			e.markGone(instance)
		}
	}
}

// recordInstances records when instances were first observed in the shard
// tables. An instance with the address of this process is an earlier one and
// has ended.
func (e *Entry) recordInstances(now time.Time) {
	for _, instance := range e.tracker.KnownOwners() {
		if _, ok := e.firstSeen[instance]; !ok {
			e.firstSeen[instance] = now
		}
		if instance.Address() == e.info.PeerAddress {
			e.markGone(instance)
		}
	}
}

// checkHostList marks instances as gone whose hosts have been missing from the
// host list for longer than the list may lag.
func (e *Entry) checkHostList(hosts []hostlist.Host, sentAt time.Time) {
	listed := map[string]bool{}
	for _, host := range hosts {
		if host.Kind == hostlist.KindEntry {
			listed[host.Name] = true
		}
	}
	if listed[e.info.Name] {
		e.tracker.RecordListed(sentAt, time.Now())
	}
	if len(listed) == 0 {
		return
	}
	known := e.tracker.KnownOwners()
	for instance := range e.members {
		known = append(known, instance)
	}
	for _, instance := range known {
		since, ok := e.unlistedSince[instance]
		switch {
		case listed[instance.Name()]:
			delete(e.unlistedSince, instance)
		case !ok:
			e.unlistedSince[instance] = sentAt
		case sentAt.Sub(since) > e.Settings.HostList.Lag:
			e.markGone(instance)
		}
	}
}

// liveMembers lists the processes that may own shards, including this one.
func (e *Entry) liveMembers(now time.Time) (list []shard.Member) {
	if !e.leaving {
		list = append(list, shard.Member{Instance: e.info.Instance, Place: e.info.Place})
	}
	for instance, m := range e.members {
		if e.tracker.IsLive(instance, now) && !m.leaving && !m.offline && !m.lastReceived.IsZero() {
			list = append(list, shard.Member{Instance: instance, Place: m.info.Place})
		}
	}
	slices.SortFunc(list, func(a, b shard.Member) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
	return list
}

// rackSummaries returns the latest summary of every rack that has an owner.
func (e *Entry) rackSummaries() (list []rack.Summary) {
	for _, id := range slices.Sorted(maps.Keys(e.racks)) {
		list = append(list, e.racks[id].Summary())
	}
	for _, instance := range slices.Sorted(maps.Keys(e.members)) {
		for _, summary := range e.members[instance].racks {
			if owner, _ := e.tracker.Owner(summary.Shard); owner == instance {
				list = append(list, summary)
			}
		}
	}
	return list
}

// setSummaries returns the latest summary of every set of a service's minions.
func (e *Entry) setSummaries(service string, now time.Time) (list []slot.Summary) {
	for _, set := range e.sets {
		if summary := set.Summary(now); summary.Service == service {
			list = append(list, summary)
		}
	}
	for instance, m := range e.members {
		for _, summary := range m.sets {
			if owner, _ := e.tracker.Owner(summary.Shard); owner == instance && summary.Service == service {
				list = append(list, summary)
			}
		}
	}
	return list
}
