package proof

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/config"
	"turmericspread.org/turmericspread/internal/hostlist"
	"turmericspread.org/turmericspread/internal/job"
	"turmericspread.org/turmericspread/internal/slot"
	"turmericspread.org/turmericspread/internal/standin"
)

var (
	seedFlag  = flag.Uint64("seed", 0, "seed of the first randomised run; 0 runs the fixed seeds")
	logsFlag  = flag.Bool("logs", false, "keep the processes' logs of all runs")
	seedsFlag = flag.Int("seeds", 0, "number of randomised runs")
)

// run is one randomised run: a cell, its callers and its faults.
type run struct {
	*cell
	rng     *rand.Rand
	mu      sync.Mutex
	stopped bool
	group   sync.WaitGroup
	next    int
	jobs    map[string]string // accepted job -> route
	cancels map[string]bool   // jobs whose cancellation was accepted
	lies    []string          // answers that were not true
	counts  map[string]int
	gone    map[string]bool // workers dropped from the host list
	down    map[int]bool    // hosts without a process
}

func newRun(t *testing.T, seed uint64) *run {
	t.Helper()
	opts := smallCell(seed)
	opts.ignoreEpochs = seed%3 == 0
	return &run{
		cell: newCell(t, opts), rng: rand.New(rand.NewPCG(seed, 3)),
		jobs: map[string]string{}, cancels: map[string]bool{}, counts: map[string]int{},
		gone: map[string]bool{}, down: map[int]bool{},
	}
}

func (r *run) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

func (r *run) count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[name]++
}

func (r *run) lie(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lies = append(r.lies, fmt.Sprintf(format, args...))
}

func (r *run) active() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.stopped
}

// live returns the process of some host that is up and not paused.
func (r *run) live() *process {
	for range 100 {
		i := r.intN(len(r.procs))
		p := r.proc(i)
		if paused, dead := p.node.state(); !paused && !dead {
			return p
		}
	}
	return r.proc(0)
}

var teams = []string{"red", "blue"}

// callers keep requests, jobs and cancellations coming.
func (r *run) callers() {
	for i := range 4 {
		r.group.Go(func() {
			for r.active() {
				r.request(i)
				time.Sleep(time.Duration(20+r.intN(100)) * time.Millisecond)
			}
		})
	}
	r.group.Go(func() {
		for r.active() {
			r.group.Go(r.submit)
			time.Sleep(time.Duration(200+r.intN(800)) * time.Millisecond)
		}
	})
	r.group.Go(func() {
		for r.active() {
			time.Sleep(time.Duration(1000+r.intN(2000)) * time.Millisecond)
			r.group.Go(r.cancel)
		}
	})
}

func (r *run) request(i int) {
	p := r.live()
	route := []string{"bid", "list"}[i%2]
	pool, err := p.entry.Tables().PoolOf(route)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.next++
	mark := fmt.Sprintf("request-%d", r.next)
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), pool.Timeout())
	defer cancel()
	body := fmt.Sprintf(`{"output":%q,"sleep-ms":%d}`, mark, r.intN(40))
	answer := p.entry.Request(ctx, teams[i%2], route, pool, []byte(body))
	r.count("request " + string(answer.Outcome))
	switch answer.Outcome {
	case slot.OutcomeDone:
		if !strings.Contains(string(answer.Body), `"`+mark+`"`) {
			r.lie("request %s got the answer %s", mark, answer.Body)
		}
	case slot.OutcomeNotRun:
		// What was written late would show after a while.
		time.Sleep(10 * time.Second)
		for name, m := range r.minions {
			if m.HasRun(answer.ID) {
				r.lie("request %s was called not run, and %s ran it", answer.ID, name)
			}
		}
	}
}

func (r *run) submit() {
	p := r.live()
	r.mu.Lock()
	r.next++
	name := fmt.Sprintf("j%d", r.next)
	r.mu.Unlock()
	route := []string{"report", "settle", "match", "report"}[r.intN(4)]
	team := teams[r.intN(len(teams))]
	work := standin.Work{SleepMS: int64(100 + r.intN(3000)), Output: name}
	if r.intN(10) == 0 {
		work.FailOn = fmt.Sprintf("r%d", r.intN(3))
	}
	reply, err := p.entry.Submit(context.Background(), team, team+"."+name, spec(route, 1+r.intN(6), float64(1+r.intN(3)), work))
	switch {
	case err != nil:
		r.count("submission unanswered")
	case reply.Refused != "":
		r.count("submission refused as " + string(reply.Refused))
	default:
		r.count("submission accepted")
		r.mu.Lock()
		r.jobs[team+"."+name] = route
		r.mu.Unlock()
	}
}

func (r *run) cancel() {
	r.mu.Lock()
	var id string
	for id = range r.jobs {
		break
	}
	r.mu.Unlock()
	if id == "" {
		return
	}
	team, _, _ := strings.Cut(id, ".")
	reply, err := r.live().entry.Cancel(context.Background(), job.Ref{Team: team, ID: id})
	if err != nil || reply.Refused != "" {
		return
	}
	if state := reply.Job.State; state == job.StateCancelling || state == job.StateCancelled {
		r.mu.Lock()
		r.cancels[id] = true
		r.mu.Unlock()
	}
}

// disturb does one random harm and heals it after a while.
func (r *run) disturb() {
	heal := time.Duration(500+r.intN(12000)) * time.Millisecond
	i := r.intN(len(r.procs))
	switch r.intN(11) {
	case 0:
		r.count("kill")
		r.restart(i, heal/4)
	case 1:
		r.count("pause")
		r.proc(i).node.pause(heal)
	case 2:
		r.count("store down")
		r.store.SetFault(standin.StoreFault{Down: true})
		r.later(heal, func() { r.store.SetFault(standin.StoreFault{}) })
	case 3:
		r.count("store answers lost")
		r.store.SetFault(standin.StoreFault{LoseAnswers: 0.5, SlowMS: int64(r.intN(300))})
		r.later(heal, func() { r.store.SetFault(standin.StoreFault{}) })
	case 4:
		r.count("cut from a part of the platform")
		target := []string{storeAddress, hostsAddress, workersAddress, minionsTarget}[r.intN(4)]
		from, to := peerAddress(i), target
		if r.intN(2) == 0 {
			from, to = to, from
		}
		r.net.cut(from, to, true)
		r.later(heal, func() { r.net.cut(from, to, false) })
	case 5:
		r.count("cut between processes")
		j := r.intN(len(r.procs))
		r.net.cut(peerAddress(i), peerAddress(j), true)
		r.later(heal, func() { r.net.cut(peerAddress(i), peerAddress(j), false) })
	case 6:
		r.count("isolated process")
		r.isolate(i, true)
		r.later(heal, func() { r.isolate(i, false) })
	case 7:
		r.count("worker unreachable")
		name := r.rows[r.intN(9)].Name
		r.workers.Freeze(name, true)
		r.later(heal, func() { r.workers.Freeze(name, false) })
	case 8:
		r.loseWorker()
	case 9:
		r.count("leaving target")
		name := r.rows[r.intN(len(r.rows))].Name
		if strings.HasPrefix(name, "e") {
			return
		}
		r.hosts.SetState(name, hostlist.StateLeaving)
		r.later(heal, func() { r.hosts.SetState(name, "live") })
	case 10:
		r.count("edit")
		r.group.Go(r.edit)
	}
}

// later heals a harm, also after the faults have ended.
func (r *run) later(d time.Duration, fn func()) {
	r.group.Go(func() {
		time.Sleep(d)
		fn()
	})
}

func (r *run) restart(i int, after time.Duration) {
	r.mu.Lock()
	busy := r.down[i]
	r.down[i] = true
	r.mu.Unlock()
	if busy {
		return
	}
	r.kill(i)
	r.later(after, func() {
		r.boot(i)
		r.mu.Lock()
		r.down[i] = false
		r.mu.Unlock()
	})
}

func (r *run) isolate(i int, on bool) {
	for _, target := range []string{storeAddress, hostsAddress} {
		r.net.cut(peerAddress(i), target, on)
	}
	for j := range r.procs {
		if j != i {
			r.net.cut(peerAddress(i), peerAddress(j), on)
			r.net.cut(peerAddress(j), peerAddress(i), on)
		}
	}
}

// loseWorker ends a worker with all it runs; the list shows it a while later.
func (r *run) loseWorker() {
	name := r.rows[r.intN(9)].Name
	if r.gone[name] || len(r.gone) >= 3 {
		return
	}
	r.count("worker lost")
	r.gone[name] = true
	r.workers.Remove(name)
	r.later(time.Duration(r.intN(5000))*time.Millisecond, func() { r.hosts.SetState(name, standin.StateGone) })
}

// edit changes a team's share, while other operators do the same.
func (r *run) edit() {
	share := float64(1 + r.intN(4))
	_, err := r.live().entry.Edit(context.Background(), func(tables *config.Tables) error {
		team := tables.Teams["red"]
		team.Share = share
		tables.Teams["red"] = team
		return nil
	})
	if err != nil {
		r.count("edit not accepted")
	}
}

// finish heals everything and waits for all accepted jobs.
func (r *run) finish() {
	r.mu.Lock()
	r.stopped = true
	r.mu.Unlock()
	r.group.Wait()
	r.net.healAll()
	r.net.lateStore = 0
	r.store.SetFault(standin.StoreFault{})
	r.settle()
	for id, route := range r.jobs {
		team, _, _ := strings.Cut(id, ".")
		reply, err := r.proc(0).entry.Get(context.Background(), job.Ref{Team: team, ID: id, WaitMS: 60000})
		switch {
		case err != nil || reply.Refused != "":
			r.lie("accepted job %s is lost: %v %+v", id, err, reply)
		case !reply.Job.State.Terminal():
			r.lie("job %s of route %s is stuck as %s: %v %s", id, route, reply.Job.State, reply.Job.Counts, reply.Job.Reason)
		case r.cancels[id] && reply.Job.State != job.StateCancelled:
			r.lie("job %s was cancelled and ended as %s", id, reply.Job.State)
		default:
			r.counts[route+" "+string(reply.Job.State)]++
		}
	}
	r.eventually(30*time.Second, func() error {
		if n := r.workers.Stats().Running; n > 0 {
			return fmt.Errorf("%d tasks are left running", n)
		}
		return nil
	})
}

// explain shows the history of the jobs whose attempts ran twice.
func (r *run) explain() {
	shown := map[string]bool{}
	for _, attempt := range r.workers.Stats().DoubleAttempts {
		parts := strings.SplitN(attempt, ".", 3)
		id := parts[0] + "." + parts[1]
		if shown[id] {
			continue
		}
		shown[id] = true
		reply, err := r.proc(0).entry.Get(context.Background(), job.Ref{Team: parts[0], ID: id, Explain: true})
		if err != nil || reply.Job == nil {
			continue
		}
		for _, note := range reply.Job.History {
			r.t.Logf("%s: %s %s", id, note.Time.Format("15:04:05.000"), note.Text)
		}
	}
}

// logQueues shows the state of the queues after a failure.
func (r *run) logQueues() {
	for i := range r.procs {
		dump, err := r.proc(i).entry.Dump(context.Background())
		if err != nil {
			continue
		}
		for _, q := range dump.Queues {
			q.Jobs = nil
			r.t.Logf("e%d: %+v", i, q)
		}
		for _, m := range dump.Status.Members {
			r.t.Logf("e%d: member %s is %s", i, m.Instance, m.State)
		}
		r.t.Logf("e%d: right %d ms, store up %t, out of service %v", i, dump.Status.RightMS, dump.Status.StoreUp, dump.Status.OutOfService)
	}
}

// TestRandomised runs fixed seeds, or those given by -seed and -seeds.
func TestRandomised(t *testing.T) {
	first, n := uint64(1), 6
	if *seedFlag != 0 {
		first, n = *seedFlag, max(1, *seedsFlag)
	}
	for seed := first; seed < first+uint64(n); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { randomRun(t, seed) })
		})
	}
}

func randomRun(t *testing.T, seed uint64) {
	r := newRun(t, seed)
	defer r.close()
	r.configure(mustTables(t, basicTables))
	r.net.lateStore = 0.02
	r.callers()
	const faults = 25
	for range faults {
		time.Sleep(time.Duration(r.intN(5000)) * time.Millisecond)
		r.disturb()
	}
	r.finish()
	for _, lie := range r.lies {
		t.Error(lie)
	}
	r.check()
	if t.Failed() || *logsFlag {
		r.logQueues()
		r.explain()
		t.Logf("logs of all processes: %s", r.logs.save(t))
	}
	t.Logf("seed %d: %v", seed, r.counts)
	assert.Assert(t, r.counts["submission accepted"] > 0)
}
