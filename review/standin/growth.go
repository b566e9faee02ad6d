package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// memoryLimitKB is the memory of a process on the machines of jerami-lelang.
	memoryLimitKB = 284 << 10
	// restartDelay is the platform's delay before it starts a killed process again.
	restartDelay = 500 * time.Millisecond
	// arrivalsPerS is the rate of jobs on the sheet of jerami-lelang, deletionsPerS what
	// the system deletes at most.
	arrivalsPerS  = 11.6 + 1.21 + 0.134
	deletionsPerS = 8
	// serviceTime is how long the deployment has run when the case begins.
	serviceTime = 6 * time.Hour
)

// anonymousKB returns the anonymous memory of a process.
func anonymousKB(pid int) (kb int) {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ = strconv.Atoi(strings.Fields(rest)[0])
		}
	}
	return kb
}

// limitMemory kills processes that exceed the memory of their machine and starts them
// again, as the platform does, until stop is closed. It returns how often it did.
func (s *system) limitMemory(stop <-chan struct{}) (kills int) {
	for {
		select {
		case <-stop:
			return kills
		case <-time.After(20 * time.Millisecond):
		}
		for _, h := range s.hosts {
			kb := anonymousKB(h.cmd.Process.Pid)
			if kb <= memoryLimitKB {
				continue
			}
			s.rec.line("%s: %d kB of memory, over its limit", h.name, kb)
			s.kill(h)
			kills++
			time.Sleep(restartDelay)
			_ = s.start(h)
		}
	}
}

// grown plays a takeover after hours of service. The system deletes ended jobs slower than
// they arrive, so the store keeps the rest.
func grown(b *bench) (broken bool, err error) {
	b.fleet.work = func(string, int64) outcome { return outcome{200 * time.Millisecond, "done"} }
	const first = "00000000aaaaaaaa"
	spec := strings.Repeat("x", 300) // the mean on the sheet
	steps := []any{
		map[string]any{"count": 6, "cpu": 2500, names.Memory: 4700, "estimateMs": 200},
		map[string]any{"count": 4, "cpu": 2500, names.Memory: 4700, "estimateMs": 200, "after": []int{0}},
	}
	body, err := json.Marshal(map[string]any{"spec": spec, "steps": steps})
	if err != nil {
		return false, err
	}
	if status, answer := b.system.callAny(http.MethodPost, queueHost, prefix+first, key, body); status != http.StatusOK {
		return false, fmt.Errorf("job not accepted: %d %s", status, answer)
	}
	if state := b.waitState(first, 10*time.Second); state != "completed" {
		return false, fmt.Errorf("the first job is %s", state)
	}
	time.Sleep(time.Second)
	count := int((arrivalsPerS - deletionsPerS) * serviceTime.Seconds())
	if err := b.keepCopies(first, count); err != nil {
		return false, err
	}
	stop, kills := make(chan struct{}), make(chan int, 1)
	if b.trouble {
		b.rec.say("all processes are killed and start again")
		for _, h := range b.system.hosts {
			b.system.kill(h)
		}
		time.Sleep(restartDelay)
		for _, h := range b.system.hosts {
			if err := b.system.start(h); err != nil {
				return false, err
			}
		}
	}
	go func() { kills <- b.system.limitMemory(stop) }()
	const recover, finish, jobs = 12 * time.Second, 14 * time.Second, 8
	time.Sleep(recover)
	var accepted []string
	for i := range jobs {
		id := fmt.Sprintf("%016x", 0x3c0ffee0000+i)
		if status, _ := b.system.callAny(http.MethodPost, queueHost, prefix+id, key, body); status == http.StatusOK {
			accepted = append(accepted, id)
		}
	}
	time.Sleep(finish + 3*time.Second)
	began := map[string]bool{}
	for _, r := range b.fleet.snapshot() {
		began[strings.SplitN(r.task, ".", 2)[0]] = true
	}
	never := 0
	for _, id := range accepted {
		if !began[id] {
			never++
			b.rec.line("LOST: %s was accepted and has not begun", id)
		}
	}
	close(stop)
	b.rec.say("%d of %d jobs accepted; %d of them have not begun after %v; processes over their memory: %d",
		len(accepted), jobs, never, finish+3*time.Second, <-kills)
	return never > 0 || len(accepted) == 0, nil
}

// keepCopies puts copies of what the system has stored of one completed job into the store, under
// other IDs. The running owner is not told, as it would know these jobs.
func (b *bench) keepCopies(id string, count int) error {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	records := map[string]string{}
	for storeKey, it := range b.store.items {
		if before, ok := strings.CutSuffix(storeKey, id); ok {
			records[before] = string(it.Value)
		}
	}
	if len(records) == 0 {
		return fmt.Errorf("the system has stored nothing of the job %s", id)
	}
	bytes := 0
	for i := range count {
		copied := fmt.Sprintf("%016x", 0x0bb0000000000000+i)
		b.store.revision++
		for before, value := range records {
			value = strings.ReplaceAll(value, id, copied)
			bytes += len(value)
			it := item{Key: before + copied, Value: []byte(value), Revision: b.store.revision, Created: b.store.revision}
			b.store.keys = append(b.store.keys, it.Key)
			b.store.items[it.Key] = it
		}
	}
	slices.Sort(b.store.keys)
	b.rec.say("store: %d ended jobs from %v of service, %d kB", count, serviceTime, bytes>>10)
	return nil
}
