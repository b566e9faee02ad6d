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

// simulation runs real Books of several processes over a fake store and
// network in virtual time, and checks that no shard ever has two processes
// that may start work.
type simulation struct {
	rng       *rand.Rand
	now       time.Time
	events    eventQueue
	order     int
	procs     []*proc // by address
	tables    map[string]Table
	revisions map[string]int64
	revision  int64
	storeDown bool
	cutStore  map[int]bool
	cutPeers  map[[2]int]bool
	shards    []ID
	faults    Faults
	broken    string
	owned     int
	takeovers map[ID]Instance
	changes   int
	outage    int // checks during an outage at which some shard may start work
}

// proc is one process. A restart replaces it at its address.
type proc struct {
	address int
	book    *Tracker
	rate    float64
	start   time.Time
	paused  time.Time // end of the present pause
	known   map[Instance]int
	asked   map[*Write]bool
	seen    int64
	dead    bool
}

type event struct {
	at    time.Time
	order int
	fn    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
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
		rng:       rand.New(rand.NewPCG(seed, 1)),
		now:       time.Unix(1_000_000, 0),
		tables:    map[string]Table{},
		revisions: map[string]int64{},
		cutStore:  map[int]bool{},
		cutPeers:  map[[2]int]bool{},
		takeovers: map[ID]Instance{},
		faults:    faults,
	}
	s.shards = []ID{"rack/a/r1", "rack/b/r1", "team/x"}
	for i := range n {
		s.procs = append(s.procs, nil)
		s.boot(i)
	}
	return s
}

func (s *simulation) boot(address int) {
	const maxDrift = 0.02
	s.order++
	p := &proc{
		address: address, start: s.now, known: map[Instance]int{}, asked: map[*Write]bool{},
		rate: 1 + maxDrift*(2*s.rng.Float64()-1), seen: -1,
	}
	p.book = NewTracker(Instance(fmt.Sprintf("p%d.%d", address, s.order)), simTiming)
	p.book.Faults = s.faults
	s.procs[address] = p
	s.after(time.Duration(s.rng.IntN(50))*time.Millisecond, func() { s.tick(p) })
	s.after(0, func() { s.watch(p) })
	s.after(time.Duration(s.rng.IntN(250))*time.Millisecond, func() { s.beat(p) })
}

func (s *simulation) after(d time.Duration, fn func()) {
	s.order++
	heap.Push(&s.events, event{s.now.Add(d), s.order, fn})
}

// clock is the process's own clock.
func (s *simulation) clock(p *proc) time.Time {
	return p.start.Add(time.Duration(float64(s.now.Sub(p.start)) * p.rate))
}

// run runs fn in p, after its pause if it is paused, unless it has died.
func (s *simulation) run(p *proc, fn func()) {
	switch {
	case p.dead:
	case p.paused.After(s.now):
		s.after(p.paused.Sub(s.now), func() { s.run(p, fn) })
	default:
		fn()
		s.check()
	}
}

func (s *simulation) delay() time.Duration {
	return time.Duration(1+s.rng.IntN(20)) * time.Millisecond
}

// check asserts that at most one process may start work in each shard.
func (s *simulation) check() {
	for _, id := range s.shards {
		var owner *proc
		for _, p := range s.procs {
			if p.dead || p.paused.After(s.now) || !p.book.MayStart(id, s.clock(p)) {
				continue
			}
			if owner != nil && s.broken == "" {
				s.broken = fmt.Sprintf("at %s both %s and %s may start work in %s",
					s.now.Sub(time.Unix(1_000_000, 0)), owner.book.Self(), p.book.Self(), id)
			}
			owner = p
		}
		if owner == nil {
			continue
		}
		s.owned++
		if s.storeDown {
			s.outage++
		}
		if s.takeovers[id] != owner.book.Self() {
			s.takeovers[id] = owner.book.Self()
			s.changes++
		}
	}
}

func (s *simulation) tick(p *proc) {
	s.run(p, func() {
		now := s.clock(p)
		members := []Member{{p.book.Self(), "a"}}
		for instance := range p.known {
			if p.book.IsLive(instance, now) {
				members = append(members, Member{instance, "a"})
			}
		}
		for _, id := range p.book.OwnedShards() {
			if phase, _ := p.book.Phase(id, now); phase == PhaseReleasing {
				p.book.MarkDrained(id)
			}
		}
		// A new process hears the others before it takes anything.
		if now.Sub(p.start) > simTiming.SuspectAfter && p.seen >= 0 {
			for _, w := range p.book.PlanWrites(View{Shards: s.shards, Members: sortMembers(members)}, now) {
				s.put(p, w)
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

// put sends a write; it may be slow, arrive after its sender died, and its
// answer may be lost.
func (s *simulation) put(p *proc, w *Write) {
	if p.asked[w] {
		return
	}
	p.asked[w] = true
	late := s.delay()
	if s.rng.IntN(6) == 0 {
		late += time.Duration(s.rng.IntN(9000)) * time.Millisecond
	}
	value := w.Table.Clone()
	again := func() { s.after(300*time.Millisecond, func() { s.run(p, func() { delete(p.asked, w) }) }) }
	if s.storeDown || s.cutStore[p.address] {
		again()
		return
	}
	s.after(late, func() {
		if s.storeDown {
			again()
			return
		}
		ok := s.revisions[w.Key] == w.Revision
		if ok {
			s.revision++
			s.revisions[w.Key], s.tables[w.Key] = s.revision, value
		}
		if s.cutStore[p.address] || s.rng.IntN(5) == 0 || !ok {
			again()
			return
		}
		revision := s.revision
		s.after(s.delay(), func() {
			s.run(p, func() { p.book.Apply(w.Key, revision, value, s.clock(p)) })
		})
	})
}

func (s *simulation) watch(p *proc) {
	s.run(p, func() {
		sent := s.clock(p)
		hold := s.delay()
		if p.seen >= 0 {
			hold += time.Duration(s.rng.IntN(1000)) * time.Millisecond
		}
		if s.storeDown || s.cutStore[p.address] {
			s.after(300*time.Millisecond, func() { s.watch(p) })
			return
		}
		s.after(hold, func() {
			if s.storeDown || s.cutStore[p.address] {
				s.after(time.Second, func() { s.watch(p) })
				return
			}
			revision := s.revision
			tables, revisions := map[string]Table{}, map[string]int64{}
			for key, table := range s.tables {
				tables[key], revisions[key] = table.Clone(), s.revisions[key]
			}
			s.after(s.delay(), func() {
				s.run(p, func() {
					for key, table := range tables {
						p.book.Apply(key, revisions[key], table, s.clock(p))
					}
					p.book.RecordStoreReply(sent)
					p.seen = revision
					s.watch(p)
				})
			})
		})
	})
}

func (s *simulation) beat(p *proc) {
	s.run(p, func() {
		for address := range s.procs {
			if address != p.address {
				s.beatOne(p, address)
			}
		}
		s.after(250*time.Millisecond, func() { s.beat(p) })
	})
}

func (s *simulation) beatOne(p *proc, address int) {
	sent := s.clock(p)
	expected := Instance("")
	for instance, at := range p.known {
		if at == address && !p.book.IsGone(instance) {
			expected = instance
			p.book.GrantClaims(instance)
		}
	}
	revisions := p.book.Revisions()
	if s.cutPeers[[2]int{p.address, address}] {
		return
	}
	s.after(s.delay(), func() {
		q := s.procs[address]
		s.run(q, func() {
			if q != s.procs[address] {
				return
			}
			q.known[p.book.Self()] = p.address
			q.book.AddPeer(p.book.Self())
			if expected == q.book.Self() {
				q.book.RecordGrant(p.book.Self())
			}
			q.book.RecordSeenRevisions(p.book.Self(), revisions)
			clear := q.book.NoClaimsAgainst(p.book.Self(), revisions)
			if s.cutPeers[[2]int{address, p.address}] {
				return
			}
			s.after(s.delay(), func() { s.run(p, func() { s.answered(p, q, expected, sent, clear) }) })
		})
	})
}

func (s *simulation) answered(p, q *proc, expected Instance, sent time.Time, clear bool) {
	instance := q.book.Self()
	for known, at := range p.known {
		if at == q.address && known != instance {
			p.book.RecordGone(known)
			delete(p.known, known)
		}
	}
	if owner := s.staleOwner(p, q); owner != "" {
		p.book.RecordGone(owner)
	}
	if p.book.IsGone(instance) {
		return
	}
	p.known[instance] = q.address
	p.book.AddPeer(instance)
	if expected == instance {
		p.book.RecordReply(instance, sent, clear, s.clock(p))
	}
}

// staleOwner names an owner that p sees in the table and whose address answers
// as another instance.
func (s *simulation) staleOwner(p, q *proc) Instance {
	for _, id := range s.shards {
		owner, _ := p.book.Owner(id)
		var address, n int
		if _, err := fmt.Sscanf(string(owner), "p%d.%d", &address, &n); err != nil {
			continue
		}
		if address == q.address && owner != q.book.Self() || address == p.address && owner != p.book.Self() {
			return owner
		}
	}
	return ""
}

// disturb does one random harm, or heals one.
func (s *simulation) disturb() {
	i, j := s.rng.IntN(len(s.procs)), s.rng.IntN(len(s.procs))
	heal := time.Duration(500+s.rng.IntN(15000)) * time.Millisecond
	switch s.rng.IntN(6) {
	case 0:
		s.storeDown = true
		s.after(heal, func() { s.storeDown = false })
	case 1:
		s.cutStore[i] = true
		s.after(heal, func() { s.cutStore[i] = false })
	case 2:
		s.cutPeers[[2]int{i, j}] = true
		if s.rng.IntN(2) == 0 {
			s.cutPeers[[2]int{j, i}] = true
		}
		s.after(heal, func() { delete(s.cutPeers, [2]int{i, j}); delete(s.cutPeers, [2]int{j, i}) })
	case 3:
		s.procs[i].paused = s.now.Add(heal)
	case 4:
		p := s.procs[i]
		p.dead = true
		s.after(heal/4, func() { s.boot(i) })
	case 5:
		for k := range s.procs {
			if k != i {
				s.cutPeers[[2]int{i, k}], s.cutPeers[[2]int{k, i}] = true, true
			}
		}
		s.cutStore[i] = true
		s.after(heal, func() {
			clear(s.cutPeers)
			s.cutStore[i] = false
		})
	}
	s.after(time.Duration(s.rng.IntN(6000))*time.Millisecond, s.disturb)
}

func (s *simulation) simulate(length time.Duration) {
	end := s.now.Add(length)
	s.after(5*time.Second, s.disturb)
	for len(s.events) > 0 && s.broken == "" {
		e := heap.Pop(&s.events).(event)
		if e.at.After(end) {
			return
		}
		s.now = e.at
		e.fn()
		s.check()
	}
}

const simLength = 120 * time.Second

func runSeed(seed uint64, faults Faults) *simulation {
	s := newSimulation(seed, 3+int(seed%2), faults)
	s.simulate(simLength)
	return s
}

// TestRandomisedOwnership runs fixed seeds, or those given by -seed and -seeds.
func TestRandomisedOwnership(t *testing.T) {
	first, n := uint64(1), 60
	if *seedFlag != 0 {
		first, n = *seedFlag, max(1, *seedsFlag)
	}
	changes, outage := 0, 0
	for seed := first; seed < first+uint64(n); seed++ {
		s := runSeed(seed, Faults{})
		assert.Equal(t, s.broken, "", "seed %d", seed)
		assert.Assert(t, s.owned > 0, "seed %d: nothing was ever owned", seed)
		changes += s.changes
		outage += s.outage
	}
	t.Logf("%d runs of %s: %d changes of owner, %d checks with work possible during an outage", n, simLength, changes, outage)
	assert.Assert(t, outage > 0, "no owner went on during an outage")
}
