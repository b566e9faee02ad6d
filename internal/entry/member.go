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

// member is another entry process.
type member struct {
	info    Info
	leaving bool
	working bool // its right to start work lasts
	offline bool // the store does not answer it
	busy    bool // a heartbeat to it is under way
	silent  bool
	heardAt time.Time // of its last heartbeat
	racks   []rack.Summary
	sets    []slot.Summary
	teams   []job.Summary
}

// memberPrefix is the prefix of the store keys that hold Info values.
const memberPrefix = "cell/member/"

// addMember learns of a process, from the store, a heartbeat or another member.
func (e *Entry) addMember(info Info) {
	if info.Instance == "" || info.PeerAddress == e.info.PeerAddress || e.book.IsGone(info.Instance) {
		return
	}
	if _, ok := e.members[info.Instance]; ok {
		return
	}
	e.members[info.Instance] = &member{info: info}
	e.book.AddPeer(info.Instance)
}

// gone records the proof that a process runs no more.
func (e *Entry) gone(instance shard.Instance) {
	if e.book.IsGone(instance) {
		return
	}
	e.book.RecordGone(instance)
	delete(e.members, instance)
	event.MemberGone.Log(e.Log).Str("instance", string(instance)).Send()
}

// beat sends a heartbeat to every member and to seeds that are not members yet.
func (e *Entry) beat(ctx context.Context, now time.Time) {
	base := e.heartbeat(now)
	addresses := map[string]bool{}
	for _, m := range e.members {
		addresses[m.info.PeerAddress] = true
		if !m.busy {
			e.beatOne(ctx, m, base, now)
		}
		e.noteSilence(m, now)
	}
	for _, seed := range e.Settings.Entry.Peers {
		if !addresses[seed] && seed != e.info.PeerAddress {
			e.beatSeed(ctx, seed, base, now)
		}
	}
}

func (e *Entry) noteSilence(m *member, now time.Time) {
	silent := !e.book.IsLive(m.info.Instance, now)
	if silent && !m.silent {
		event.MemberUnresponsive.Log(e.Log).Str("instance", string(m.info.Instance)).Send()
	}
	if !silent && m.silent {
		event.MemberJoined.Log(e.Log).Str("instance", string(m.info.Instance)).Send()
	}
	m.silent = silent
}

func (e *Entry) heartbeat(now time.Time) Heartbeat {
	beat := Heartbeat{
		From:          e.info,
		Leaving:       e.leaving,
		Revisions:     e.book.Revisions(),
		ConfigVersion: e.tables.Load().Version,
	}
	beat.Racks, beat.Sets, beat.Teams = e.ownSummaries(now)
	beat.Working = now.Before(e.book.LeaseEnd())
	beat.Connected = now.Sub(e.book.ConfirmedAt()) < storeFresh
	for instance, m := range e.members {
		beat.Members = append(beat.Members, m.info)
		if m.working && now.Sub(m.heardAt) < e.Settings.Timing.SuspectAfter/2 {
			beat.Heard = append(beat.Heard, instance)
		}
	}
	return beat
}

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

func (e *Entry) beatOne(ctx context.Context, m *member, beat Heartbeat, now time.Time) {
	e.book.GrantClaims(m.info.Instance)
	beat.Grant = true
	m.busy = true
	address := m.info.PeerAddress
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, e.Settings.Timing.SuspectAfter)
		defer cancel()
		reply, err := peer.Call[Heartbeat, HeartbeatReply](callCtx, e.peers, address, callHeartbeat, &beat)
		e.loop.Post(func() {
			m.busy = false
			if err == nil {
				e.beatAnswered(m, now, reply)
			}
		})
	}()
}

func (e *Entry) beatAnswered(m *member, sentAt time.Time, reply *HeartbeatReply) {
	e.proveGone(m.info.PeerAddress, reply.Instance, sentAt)
	if reply.Instance != m.info.Instance {
		e.gone(m.info.Instance)
		return
	}
	e.book.RecordReply(m.info.Instance, sentAt, reply.Clear, time.Now())
	e.learnVersion(reply.ConfigVersion, m.info.PeerAddress)
}

// beatSeed introduces this process to an address from the settings.
func (e *Entry) beatSeed(ctx context.Context, address string, beat Heartbeat, now time.Time) {
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, e.Settings.Timing.SuspectAfter)
		defer cancel()
		reply, err := peer.Call[Heartbeat, HeartbeatReply](callCtx, e.peers, address, callHeartbeat, &beat)
		if err != nil {
			return
		}
		e.loop.Post(func() {
			e.proveGone(address, reply.Instance, now)
			e.learnVersion(reply.ConfigVersion, address)
		})
	}()
}

// handleHeartbeat answers a heartbeat of another process.
func (e *Entry) handleHeartbeat(ctx context.Context, beat *Heartbeat) (reply *HeartbeatReply, err error) {
	err = e.loop.Call(ctx, func() {
		now := time.Now()
		e.addMember(beat.From)
		if m, ok := e.members[beat.From.Instance]; ok {
			e.takeSummaries(m, beat, now)
			e.book.RecordSeenRevisions(beat.From.Instance, beat.Revisions)
		}
		for _, info := range beat.Members {
			e.addMember(info)
		}
		if beat.Grant && beat.From.Instance != e.info.Instance {
			e.book.RecordGrant(beat.From.Instance)
		}
		e.learnVersion(beat.ConfigVersion, beat.From.PeerAddress)
		reply = &HeartbeatReply{
			Instance:      e.info.Instance,
			Clear:         e.book.NoClaimsAgainst(beat.From.Instance, beat.Revisions),
			ConfigVersion: e.tables.Load().Version,
		}
	})
	return reply, err
}

func (e *Entry) takeSummaries(m *member, beat *Heartbeat, now time.Time) {
	m.heardAt, m.leaving = now, beat.Leaving
	m.working, m.offline = beat.Working, !beat.Connected
	for _, instance := range beat.Heard {
		e.book.RecordVouched(instance, now)
	}
	m.racks, m.sets, m.teams = beat.Racks, beat.Sets, beat.Teams
	for _, q := range e.queues {
		q.ForgetPlan()
	}
}

// proveGone looks for instances that run no more: whose address answered a
// call as another instance, though the call was sent after the instance was seen.
func (e *Entry) proveGone(address string, answered shard.Instance, sentAt time.Time) {
	for _, instance := range e.book.KnownOwners() {
		since, ok := e.seen[instance]
		if ok && instance.Address() == address && instance != answered && sentAt.After(since) {
			e.gone(instance)
		}
	}
}

// noteInstances records when instances were first seen in the tables. This
// process has its address, so an earlier instance there has ended.
func (e *Entry) noteInstances(now time.Time) {
	for _, instance := range e.book.KnownOwners() {
		if _, ok := e.seen[instance]; !ok {
			e.seen[instance] = now
		}
		if instance.Address() == e.info.PeerAddress {
			e.gone(instance)
		}
	}
}

// checkHostList proves instances gone whose hosts the list has not named for
// longer than it lags.
func (e *Entry) checkHostList(hosts []hostlist.Host, sentAt time.Time) {
	listed := map[string]bool{}
	for _, host := range hosts {
		if host.Kind == hostlist.KindEntry {
			listed[host.Name] = true
		}
	}
	if listed[e.info.Name] {
		e.book.RecordListed(sentAt, time.Now())
	}
	if len(listed) == 0 {
		return
	}
	known := e.book.KnownOwners()
	for instance := range e.members {
		known = append(known, instance)
	}
	for _, instance := range known {
		since, ok := e.absent[instance]
		switch {
		case listed[instance.Name()]:
			delete(e.absent, instance)
		case !ok:
			e.absent[instance] = sentAt
		case sentAt.Sub(since) > e.Settings.HostList.Lag:
			e.gone(instance)
		}
	}
}

// liveMembers lists the processes that may own shards, this one included.
func (e *Entry) liveMembers(now time.Time) (list []shard.Member) {
	if !e.leaving {
		list = append(list, shard.Member{Instance: e.info.Instance, Place: e.info.Place})
	}
	for instance, m := range e.members {
		if e.book.IsLive(instance, now) && !m.leaving && !m.offline && !m.heardAt.IsZero() {
			list = append(list, shard.Member{Instance: instance, Place: m.info.Place})
		}
	}
	slices.SortFunc(list, func(a, b shard.Member) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
	return list
}

// rackSummaries returns the newest summary of every rack that has an owner.
func (e *Entry) rackSummaries() (list []rack.Summary) {
	for _, id := range slices.Sorted(maps.Keys(e.racks)) {
		list = append(list, e.racks[id].Summary())
	}
	for _, instance := range slices.Sorted(maps.Keys(e.members)) {
		for _, summary := range e.members[instance].racks {
			if owner, _ := e.book.Owner(summary.Shard); owner == instance {
				list = append(list, summary)
			}
		}
	}
	return list
}

// setSummaries returns the newest summary of every set of a service.
func (e *Entry) setSummaries(service string, now time.Time) (list []slot.Summary) {
	for _, set := range e.sets {
		if summary := set.Summary(now); summary.Service == service {
			list = append(list, summary)
		}
	}
	for instance, m := range e.members {
		for _, summary := range m.sets {
			if owner, _ := e.book.Owner(summary.Shard); owner == instance && summary.Service == service {
				list = append(list, summary)
			}
		}
	}
	return list
}
