package shard

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	seedFlag  = flag.Uint64("seed", 0, "seed of the first randomised run; 0 runs the fixed seeds")
	seedsFlag = flag.Int("seeds", 0, "number of randomised runs")
)

// simulation runs the Trackers of several processes with a fake store and
// network in virtual time, and checks that there is never more than one process
// that may start work in a shard.
type simulation struct {
	rng              *rand.Rand
	now              time.Time
	events           eventQueue
	sequence         int
	procs            []*proc // by address
	tables           map[string]Table
	revisions        map[string]int64
	revision         int64
	storeDown        bool
	storeUnreachable map[int]bool
	linksDown        map[[2]int]bool
	shards           []ID
	faults           Faults
	violation        string
	ownedChecks      int // checks that found an owner that may start work
	lastOwners       map[ID]Instance
	ownerChanges     int
	outageChecks     int // checks during a store outage that found an owner that may start work
}

// proc is one process. After a restart, another proc has its address.
type proc struct {
	address          int
	tracker          *Tracker
	clockRate        float64
	startedAt        time.Time
	pausedUntil      time.Time // end of the current pause
	peerAddresses    map[Instance]int
	attempted        map[*Write]bool // writes that are not retried yet
	observedRevision int64           // revision of the last store reply, -1 before the first
	killed           bool
}

// event is a function to run at a point of virtual time. Events at the same
// time run in the order in which they were added.
type event struct {
	at       time.Time
	sequence int
	fn       func()
}

// eventQueue implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

var simTiming = Timing{Lease: 4 * time.Second, ClockDrift: 200 * time.Millisecond, SuspectAfter: 1500 * time.Millisecond}

func newSimulation(seed uint64, n int, faults Faults) *simulation {
	s := &simulation{
		rng:              rand.New(rand.NewPCG(seed, 1)),
		now:              time.Unix(1_000_000, 0),
		tables:           map[string]Table{},
		revisions:        map[string]int64{},
		storeUnreachable: map[int]bool{},
		linksDown:        map[[2]int]bool{},
		lastOwners:       map[ID]Instance{},
		faults:           faults,
	}
	s.shards = []ID{"rack/a/r1", "rack/b/r1", "team/x"}
	for i := range n {
		s.procs = append(s.procs, nil)
		s.boot(i)
	}
	return s
}

// boot starts a new process at an address.
func (s *simulation) boot(address int) {
	const maxDrift = 0.02
	s.sequence++
	p := &proc{
		address: address, startedAt: s.now, peerAddresses: map[Instance]int{}, attempted: map[*Write]bool{},
		clockRate: 1 + maxDrift*(2*s.rng.Float64()-1), observedRevision: -1,
	}
	p.tracker = NewTracker(Instance(fmt.Sprintf("p%d.%d", address, s.sequence)), simTiming)
	p.tracker.Faults = s.faults
	s.procs[address] = p
	s.after(time.Duration(s.rng.IntN(50))*time.Millisecond, func() { s.tick(p) })
	s.after(0, func() { s.watch(p) })
	s.after(time.Duration(s.rng.IntN(250))*time.Millisecond, func() { s.heartbeat(p) })
}

// after schedules fn to run in d of virtual time.
func (s *simulation) after(d time.Duration, fn func()) {
	s.sequence++
	heap.Push(&s.events, event{s.now.Add(d), s.sequence, fn})
}

// localTime returns the time on the clock of a process, which drifts.
func (s *simulation) localTime(p *proc) time.Time {
	return p.startedAt.Add(time.Duration(float64(s.now.Sub(p.startedAt)) * p.clockRate))
}

// runOn runs fn in p unless p was killed. If p is paused, fn runs after the pause.
func (s *simulation) runOn(p *proc, fn func()) {
	switch {
	case p.killed:
	case p.pausedUntil.After(s.now):
		s.after(p.pausedUntil.Sub(s.now), func() { s.runOn(p, fn) })
	default:
		fn()
		s.checkSingleOwner()
	}
}

func (s *simulation) randomDelay() time.Duration {
	return time.Duration(1+s.rng.IntN(20)) * time.Millisecond
}

// checkSingleOwner records a violation if more than one process may start work
// in a shard.
func (s *simulation) checkSingleOwner() {
	for _, id := range s.shards {
		var owner *proc
		for _, p := range s.procs {
			if p.killed || p.pausedUntil.After(s.now) || !p.tracker.MayStart(id, s.localTime(p)) {
				continue
			}
			if owner != nil && s.violation == "" {
				s.violation = fmt.Sprintf("at %s both %s and %s may start work in %s",
					s.now.Sub(time.Unix(1_000_000, 0)), owner.tracker.Self(), p.tracker.Self(), id)
			}
			owner = p
		}
		if owner == nil {
			continue
		}
		s.ownedChecks++
		if s.storeDown {
			s.outageChecks++
		}
		if s.lastOwners[id] != owner.tracker.Self() {
			s.lastOwners[id] = owner.tracker.Self()
			s.ownerChanges++
		}
	}
}

// tick periodically plans the writes of a process and drains its releasing shards.
func (s *simulation) tick(p *proc) {
	s.runOn(p, func() {
		now := s.localTime(p)
		members := []Member{{p.tracker.Self(), "a"}}
		for instance := range p.peerAddresses {
			if p.tracker.IsLive(instance, now) {
				members = append(members, Member{instance, "a"})
			}
		}
		for _, id := range p.tracker.OwnedShards() {
			if phase, _ := p.tracker.Phase(id, now); phase == PhaseReleasing {
				p.tracker.MarkDrained(id)
			}
		}
		// A new process must have time to receive heartbeats of its peers
		// before it claims shards.
		if now.Sub(p.startedAt) > simTiming.SuspectAfter && p.observedRevision >= 0 {
			for _, w := range p.tracker.PlanWrites(View{Shards: s.shards, Members: sortMembers(members)}, now) {
				s.attemptWrite(p, w)
			}
		}
		s.after(50*time.Millisecond, func() { s.tick(p) })
	})
}

func sortMembers(members []Member) []Member {
	for i := range members {
		for j := i; j > 0 && members[j].Instance < members[j-1].Instance; j-- {
			members[j], members[j-1] = members[j-1], members[j]
		}
	}
	return members
}

// attemptWrite sends a write to the store. The write may be slow and arrive
// after its sender has terminated, and the reply may be lost.
func (s *simulation) attemptWrite(p *proc, w *Write) {
	if p.attempted[w] {
		return
	}
	p.attempted[w] = true
	latency := s.randomDelay()
	if s.rng.IntN(6) == 0 {
		latency += time.Duration(s.rng.IntN(9000)) * time.Millisecond
	}
	value := w.Table.Clone()
	retryLater := func() { s.after(300*time.Millisecond, func() { s.runOn(p, func() { delete(p.attempted, w) }) }) }
	if s.storeDown || s.storeUnreachable[p.address] {
		retryLater()
		return
	}
	s.after(latency, func() {
		if s.storeDown {
			retryLater()
			return
		}
		ok := s.revisions[w.Key] == w.Revision
		if ok {
			s.revision++
			s.revisions[w.Key], s.tables[w.Key] = s.revision, value
		}
		if s.storeUnreachable[p.address] || s.rng.IntN(5) == 0 || !ok {
			retryLater()
			return
		}
		revision := s.revision
		s.after(s.randomDelay(), func() {
			s.runOn(p, func() { p.tracker.Apply(w.Key, revision, value, s.localTime(p)) })
		})
	})
}

// watch repeatedly sends a long poll to the store and applies the tables in its
// reply.
func (s *simulation) watch(p *proc) {
	s.runOn(p, func() {
		sent := s.localTime(p)
		responseDelay := s.randomDelay()
		if p.observedRevision >= 0 {
			responseDelay += time.Duration(s.rng.IntN(1000)) * time.Millisecond
		}
		if s.storeDown || s.storeUnreachable[p.address] {
			s.after(300*time.Millisecond, func() { s.watch(p) })
			return
		}
		s.after(responseDelay, func() {
			if s.storeDown || s.storeUnreachable[p.address] {
				s.after(time.Second, func() { s.watch(p) })
				return
			}
			revision := s.revision
			tables, revisions := map[string]Table{}, map[string]int64{}
			for key, table := range s.tables {
				tables[key], revisions[key] = table.Clone(), s.revisions[key]
			}
			s.after(s.randomDelay(), func() {
				s.runOn(p, func() {
					for key, table := range tables {
						p.tracker.Apply(key, revisions[key], table, s.localTime(p))
					}
					p.tracker.RecordStoreReply(sent)
					p.observedRevision = revision
					s.watch(p)
				})
			})
		})
	})
}

// heartbeat periodically sends heartbeats of a process to all other addresses.
func (s *simulation) heartbeat(p *proc) {
	s.runOn(p, func() {
		for address := range s.procs {
			if address != p.address {
				s.sendHeartbeat(p, address)
			}
		}
		s.after(250*time.Millisecond, func() { s.heartbeat(p) })
	})
}

// sendHeartbeat sends a heartbeat that grants claims to the instances that the
// sender has recorded at an address.
func (s *simulation) sendHeartbeat(p *proc, address int) {
	sent := s.localTime(p)
	expectedInstance := Instance("")
	for instance, at := range p.peerAddresses {
		if at == address && !p.tracker.IsGone(instance) {
			expectedInstance = instance
			p.tracker.GrantClaims(instance)
		}
	}
	revisions := p.tracker.Revisions()
	if s.linksDown[[2]int{p.address, address}] {
		return
	}
	s.after(s.randomDelay(), func() {
		q := s.procs[address]
		s.runOn(q, func() {
			if q != s.procs[address] {
				return
			}
			q.peerAddresses[p.tracker.Self()] = p.address
			q.tracker.AddPeer(p.tracker.Self())
			if expectedInstance == q.tracker.Self() {
				q.tracker.RecordGrant(p.tracker.Self())
			}
			q.tracker.RecordObservedRevisions(p.tracker.Self(), revisions)
			clear := q.tracker.NoClaimsAgainst(p.tracker.Self(), revisions)
			if s.linksDown[[2]int{address, p.address}] {
				return
			}
			s.after(s.randomDelay(), func() { s.runOn(p, func() { s.handleReply(p, q, expectedInstance, sent, clear) }) })
		})
	})
}

// handleReply processes the reply of q to a heartbeat of p that was sent to
// expectedInstance. Other instances known at the address of q have terminated.
func (s *simulation) handleReply(p, q *proc, expectedInstance Instance, sent time.Time, clear bool) {
	instance := q.tracker.Self()
	for known, at := range p.peerAddresses {
		if at == q.address && known != instance {
			p.tracker.RecordGone(known)
			delete(p.peerAddresses, known)
		}
	}
	if owner := s.staleOwner(p, q); owner != "" {
		p.tracker.RecordGone(owner)
	}
	if p.tracker.IsGone(instance) {
		return
	}
	p.peerAddresses[instance] = q.address
	p.tracker.AddPeer(instance)
	if expectedInstance == instance {
		p.tracker.RecordReply(instance, sent, clear, s.localTime(p))
	}
}

// staleOwner returns an owner in the table of p at whose address, which is that
// of p or q, another instance runs now.
func (s *simulation) staleOwner(p, q *proc) Instance {
	for _, id := range s.shards {
		owner, _ := p.tracker.Owner(id)
		var address, n int
		if _, err := fmt.Sscanf(string(owner), "p%d.%d", &address, &n); err != nil {
			continue
		}
		if address == q.address && owner != q.tracker.Self() || address == p.address && owner != p.tracker.Self() {
			return owner
		}
	}
	return ""
}

// injectFault injects one random fault, schedules its end and the next fault.
func (s *simulation) injectFault() {
	i, j := s.rng.IntN(len(s.procs)), s.rng.IntN(len(s.procs))
	duration := time.Duration(500+s.rng.IntN(15000)) * time.Millisecond
	switch s.rng.IntN(6) {
	case 0:
		s.storeDown = true
		s.after(duration, func() { s.storeDown = false })
	case 1:
		s.storeUnreachable[i] = true
		s.after(duration, func() { s.storeUnreachable[i] = false })
	case 2:
		s.linksDown[[2]int{i, j}] = true
		if s.rng.IntN(2) == 0 {
			s.linksDown[[2]int{j, i}] = true
		}
		s.after(duration, func() { delete(s.linksDown, [2]int{i, j}); delete(s.linksDown, [2]int{j, i}) })
	case 3:
		s.procs[i].pausedUntil = s.now.Add(duration)
	case 4:
		p := s.procs[i]
		p.killed = true
		s.after(duration/4, func() { s.boot(i) })
	case 5:
		for k := range s.procs {
			if k != i {
				s.linksDown[[2]int{i, k}], s.linksDown[[2]int{k, i}] = true, true
			}
		}
		s.storeUnreachable[i] = true
		s.after(duration, func() {
			clear(s.linksDown)
			s.storeUnreachable[i] = false
		})
	}
	s.after(time.Duration(s.rng.IntN(6000))*time.Millisecond, s.injectFault)
}

// simulate runs events for the given virtual time or until a violation.
func (s *simulation) simulate(duration time.Duration) {
	end := s.now.Add(duration)
	s.after(5*time.Second, s.injectFault)
	for len(s.events) > 0 && s.violation == "" {
		e := heap.Pop(&s.events).(event)
		if e.at.After(end) {
			return
		}
		s.now = e.at
		e.fn()
		s.checkSingleOwner()
	}
}

// simLength is the virtual time of one simulation.
const simLength = 120 * time.Second

// runSeed runs the simulation of a seed with three or four processes.
func runSeed(seed uint64, faults Faults) *simulation {
	s := newSimulation(seed, 3+int(seed%2), faults)
	s.simulate(simLength)
	return s
}

// TestRandomisedOwnership checks that random faults never let two processes
// start work in the same shard. It runs fixed seeds, or those selected by -seed
// and -seeds.
func TestRandomisedOwnership(t *testing.T) {
	first, n := uint64(1), 60
	if *seedFlag != 0 {
		first, n = *seedFlag, max(1, *seedsFlag)
	}
	ownerChanges, outageChecks := 0, 0
	for seed := first; seed < first+uint64(n); seed++ {
		s := runSeed(seed, Faults{})
		assert.Equal(t, s.violation, "", "seed %d", seed)
		assert.Assert(t, s.ownedChecks > 0, "seed %d: no shard was ever owned", seed)
		ownerChanges += s.ownerChanges
		outageChecks += s.outageChecks
	}
	t.Logf("%d runs of %s: %d changes of owner, %d checks with work possible during an outage", n, simLength, ownerChanges, outageChecks)
	assert.Assert(t, outageChecks > 0, "no owner could start work during a store outage")
}
