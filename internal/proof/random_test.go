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
	seedFlag  = flag.Uint64("seed", 0, "seed of the first randomised run; 0 selects the fixed seeds")
	logsFlag  = flag.Bool("logs", false, "save the logs of all runs, including successful ones")
	seedsFlag = flag.Int("seeds", 0, "number of randomised runs, with consecutive seeds")
)

// run is one randomised run of a cell, with random calls and random faults.
type run struct {
	*cell
	rng         *rand.Rand
	mu          sync.Mutex
	stopped     bool
	group       sync.WaitGroup
	lastNumber  int
	jobs        map[string]string // routes of the accepted jobs by job ID
	cancelled   map[string]bool   // jobs whose cancellation was accepted
	violations  []string          // descriptions of the violated guarantees
	counts      map[string]int
	lostWorkers map[string]bool // workers that were removed
	restarting  map[int]bool    // entry hosts whose process was killed and not started again
}

// newRun starts a cell. The workers of every third seed ignore epochs, so that only
// the leases of tasks protect against an outdated owner.
func newRun(t *testing.T, seed uint64) *run {
	t.Helper()
	opts := smallCell(seed)
	opts.ignoreEpochs = seed%3 == 0
	return &run{
		cell: newCell(t, opts), rng: rand.New(rand.NewPCG(seed, 3)),
		jobs: map[string]string{}, cancelled: map[string]bool{}, counts: map[string]int{},
		lostWorkers: map[string]bool{}, restarting: map[int]bool{},
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

func (r *run) reportViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

func (r *run) active() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.stopped
}

// randomLiveProcess returns the process of a random entry host that is neither killed
// nor paused. It returns the first process if it finds none.
func (r *run) randomLiveProcess() *process {
	for range 100 {
		i := r.intN(len(r.procs))
		p := r.proc(i)
		if paused, killed := p.node.state(); !paused && !killed {
			return p
		}
	}
	return r.proc(0)
}

var teams = []string{"red", "blue"}

// startCallers starts callers that continuously send requests, submit jobs and cancel
// jobs.
func (r *run) startCallers() {
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

// request sends a request and checks that its outcome is true: a done request has its
// own answer, and no minion runs a request with the outcome "not run".
func (r *run) request(i int) {
	p := r.randomLiveProcess()
	route := []string{"bid", "list"}[i%2]
	pool, err := p.entry.Tables().PoolOf(route)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.lastNumber++
	marker := fmt.Sprintf("request-%d", r.lastNumber)
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), pool.Timeout())
	defer cancel()
	body := fmt.Sprintf(`{"output":%q,"sleep-ms":%d}`, marker, r.intN(40))
	answer := p.entry.Request(ctx, teams[i%2], route, pool, []byte(body))
	r.count("request " + string(answer.Outcome))
	switch answer.Outcome {
	case slot.OutcomeDone:
		if !strings.Contains(string(answer.Body), `"`+marker+`"`) {
			r.reportViolation("request %s received the wrong answer %s", marker, answer.Body)
		}
	case slot.OutcomeNotRun:
		// A minion may receive a delayed request after the answer.
		time.Sleep(10 * time.Second)
		for name, m := range r.minions {
			if m.HasRun(answer.ID) {
				r.reportViolation("request %s has the outcome not-run, but %s ran it", answer.ID, name)
			}
		}
	}
}

// submit submits a random job, of which one in ten fails on all workers of a rack.
func (r *run) submit() {
	p := r.randomLiveProcess()
	r.mu.Lock()
	r.lastNumber++
	name := fmt.Sprintf("j%d", r.lastNumber)
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
		r.count("submission without answer")
	case reply.Refused != "":
		r.count("submission rejected as " + string(reply.Refused))
	default:
		r.count("submission accepted")
		r.mu.Lock()
		r.jobs[team+"."+name] = route
		r.mu.Unlock()
	}
}

// cancel cancels a random accepted job.
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
	reply, err := r.randomLiveProcess().entry.Cancel(context.Background(), job.Ref{Team: team, ID: id})
	if err != nil || reply.Refused != "" {
		return
	}
	if state := reply.Job.State; state == job.StateCancelling || state == job.StateCancelled {
		r.mu.Lock()
		r.cancelled[id] = true
		r.mu.Unlock()
	}
}

// injectFault injects a random fault and ends it after a random time. The first nine
// host rows are the workers.
func (r *run) injectFault() {
	duration := time.Duration(500+r.intN(12000)) * time.Millisecond
	i := r.intN(len(r.procs))
	switch r.intN(11) {
	case 0:
		r.count("kill")
		r.restart(i, duration/4)
	case 1:
		r.count("pause")
		r.proc(i).node.pause(duration)
	case 2:
		r.count("store down")
		r.store.SetFault(standin.StoreFault{Down: true})
		r.runAfter(duration, func() { r.store.SetFault(standin.StoreFault{}) })
	case 3:
		r.count("store answers lost")
		r.store.SetFault(standin.StoreFault{LoseAnswers: 0.5, SlowMS: int64(r.intN(300))})
		r.runAfter(duration, func() { r.store.SetFault(standin.StoreFault{}) })
	case 4:
		r.count("cut between process and platform")
		target := []string{storeAddress, hostsAddress, workersAddress, minionsTarget}[r.intN(4)]
		from, to := peerAddress(i), target
		if r.intN(2) == 0 {
			from, to = to, from
		}
		r.net.setCut(from, to, true)
		r.runAfter(duration, func() { r.net.setCut(from, to, false) })
	case 5:
		r.count("cut between processes")
		j := r.intN(len(r.procs))
		r.net.setCut(peerAddress(i), peerAddress(j), true)
		r.runAfter(duration, func() { r.net.setCut(peerAddress(i), peerAddress(j), false) })
	case 6:
		r.count("isolated process")
		r.isolate(i, true)
		r.runAfter(duration, func() { r.isolate(i, false) })
	case 7:
		r.count("worker unreachable")
		name := r.hostRows[r.intN(9)].Name
		r.workers.Freeze(name, true)
		r.runAfter(duration, func() { r.workers.Freeze(name, false) })
	case 8:
		r.loseWorker()
	case 9:
		r.count("leaving target")
		name := r.hostRows[r.intN(len(r.hostRows))].Name
		if strings.HasPrefix(name, "e") {
			return
		}
		r.hosts.SetState(name, hostlist.StateLeaving)
		r.runAfter(duration, func() { r.hosts.SetState(name, "live") })
	case 10:
		r.count("edit")
		r.group.Go(r.edit)
	}
}

// runAfter calls fn after d. The run does not finish before that, so that every fault
// ends.
func (r *run) runAfter(d time.Duration, fn func()) {
	r.group.Go(func() {
		time.Sleep(d)
		fn()
	})
}

// restart kills the process of entry host i and starts a new one later, unless the
// host is already being restarted.
func (r *run) restart(i int, after time.Duration) {
	r.mu.Lock()
	alreadyRestarting := r.restarting[i]
	r.restarting[i] = true
	r.mu.Unlock()
	if alreadyRestarting {
		return
	}
	r.killProcess(i)
	r.runAfter(after, func() {
		r.startProcess(i)
		r.mu.Lock()
		r.restarting[i] = false
		r.mu.Unlock()
	})
}

// isolate cuts a process from the store, the host list and all other processes, or
// reconnects it.
func (r *run) isolate(i int, on bool) {
	for _, target := range []string{storeAddress, hostsAddress} {
		r.net.setCut(peerAddress(i), target, on)
	}
	for j := range r.procs {
		if j != i {
			r.net.setCut(peerAddress(i), peerAddress(j), on)
			r.net.setCut(peerAddress(j), peerAddress(i), on)
		}
	}
}

// loseWorker removes a worker with all its tasks. The host list shows the removal with
// a random delay. Lost workers do not return, and a run loses at most three of its
// nine.
func (r *run) loseWorker() {
	name := r.hostRows[r.intN(9)].Name
	if r.lostWorkers[name] || len(r.lostWorkers) >= 3 {
		return
	}
	r.count("worker lost")
	r.lostWorkers[name] = true
	r.workers.Remove(name)
	r.runAfter(time.Duration(r.intN(5000))*time.Millisecond, func() { r.hosts.SetState(name, standin.StateGone) })
}

// edit changes the share of a team. Several edits may run concurrently.
func (r *run) edit() {
	share := float64(1 + r.intN(4))
	_, err := r.randomLiveProcess().entry.Edit(context.Background(), func(tables *config.Tables) error {
		team := tables.Teams["red"]
		team.Share = share
		tables.Teams["red"] = team
		return nil
	})
	if err != nil {
		r.count("edit rejected")
	}
}

// finish ends all faults and checks that every accepted job reaches the right final
// state and that no task remains running.
func (r *run) finish() {
	r.mu.Lock()
	r.stopped = true
	r.mu.Unlock()
	r.group.Wait()
	r.net.removeCuts()
	r.net.lateStoreWrites = 0
	r.store.SetFault(standin.StoreFault{})
	r.awaitOwners()
	for id, route := range r.jobs {
		team, _, _ := strings.Cut(id, ".")
		reply, err := r.proc(0).entry.Get(context.Background(), job.Ref{Team: team, ID: id, WaitMS: 60000})
		switch {
		case err != nil || reply.Refused != "":
			r.reportViolation("accepted job %s was lost: %v %+v", id, err, reply)
		case !reply.Job.State.Terminal():
			r.reportViolation("job %s of route %s did not end, its state is %s: %v %s", id, route, reply.Job.State, reply.Job.Counts, reply.Job.Reason)
		case r.cancelled[id] && reply.Job.State != job.StateCancelled:
			r.reportViolation("cancelled job %s ended in state %s", id, reply.Job.State)
		default:
			r.counts[route+" "+string(reply.Job.State)]++
		}
	}
	r.eventually(30*time.Second, func() error {
		if n := r.workers.Stats().Running; n > 0 {
			return fmt.Errorf("%d tasks are still running", n)
		}
		return nil
	})
}

// logDoubleAttempts logs the history of each job with a task that was started twice
// against the rules.
func (r *run) logDoubleAttempts() {
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

// logQueues logs the state of all queues, members and leases after a failure.
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
		r.t.Logf("e%d: lease valid for %d ms, store up %t, out of service %v", i, dump.Status.LeaseMS, dump.Status.StoreUp, dump.Status.OutOfService)
	}
}

// TestRandomised injects random faults under load and checks the guarantees. It uses
// six fixed seeds, or those given by -seed and -seeds.
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

// randomRun runs the test with one seed.
func randomRun(t *testing.T, seed uint64) {
	r := newRun(t, seed)
	defer r.close()
	r.configure(mustTables(t, basicTables))
	r.net.lateStoreWrites = 0.02
	r.startCallers()
	const faults = 25
	for range faults {
		time.Sleep(time.Duration(r.intN(5000)) * time.Millisecond)
		r.injectFault()
	}
	r.finish()
	for _, violation := range r.violations {
		t.Error(violation)
	}
	r.checkGuarantees()
	if t.Failed() || *logsFlag {
		r.logQueues()
		r.logDoubleAttempts()
		t.Logf("logs of all processes are in %s", r.logs.save(t))
	}
	t.Logf("seed %d: %v", seed, r.counts)
	assert.Assert(t, r.counts["submission accepted"] > 0)
}
