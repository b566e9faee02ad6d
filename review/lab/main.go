// Command lab is the stand-in for the store, the minions and the clients of the scripts 11 to 15.
// It starts the hosts of the project as separate processes, plays one case on loopback addresses
// and the real clock, and writes record.txt.
//
// Usage: lab CASE HOST-PROGRAM FOLDER
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
// TROUBLE=0 the case is played without its disruption.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses.
const (
	held   = 0
	broken = 1
	failed = 2
)

var (
	recordMu   sync.Mutex
	recordFile io.Writer = os.Stdout
	began                = time.Now()
	trouble              = os.Getenv("TROUBLE") != "0"
)

// record writes a line to record.txt: seconds since the start, who, what, and pairs of names and
// values.
func record(who, what string, pairs ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "%8.3f  %-10s %s", time.Since(began).Seconds(), who, what)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&b, "  %v=%v", pairs[i], pairs[i+1])
	}
	fmt.Fprintln(recordFile, b.String())
}

var (
	startsMu sync.Mutex
	starts   = map[string][]time.Time{} // by task
)

// started notes that a minion has begun a task.
func started(task string) {
	startsMu.Lock()
	defer startsMu.Unlock()
	starts[task] = append(starts[task], time.Now())
}

// startsOf returns when tasks of a job were begun.
func startsOf(job string) (list []time.Time) {
	startsMu.Lock()
	defer startsMu.Unlock()
	for task, at := range starts {
		if jobOf(task) == job {
			list = append(list, at...)
		}
	}
	return list
}

// cell is a small deployment.
type cell struct {
	store   *store
	minions []*minion
	proxies []*proxy // of the minions
	hosts   []*hostProcess
	dir     string
}

// hostProcess is a process of the project.
type hostProcess struct {
	name, front, ready, control, settings string
	cmd                                   *exec.Cmd
}

// listen opens a listener on a free loopback port.
func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// taken has the addresses that freeAddress has returned.
var taken = map[string]bool{}

// freeAddress returns a loopback address whose port is free and below those that the system gives
// out itself, so that nothing else takes it before the process that is to listen there.
func freeAddress() (address string, err error) {
	const first, count, attempts = 20000, 12000, 100
	for range attempts {
		address = fmt.Sprintf("127.0.0.1:%d", first+rand.IntN(count))
		var l net.Listener
		if taken[address] {
			continue
		}
		if l, err = net.Listen("tcp", address); err == nil {
			taken[address] = true
			return address, l.Close()
		}
	}
	return "", err
}

// serve serves a handler on a free loopback port.
func serve(h http.Handler) (address string, err error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

const key = "lab-tenant-key"

// config returns a configuration in full.
func config(version int) any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-bales", "host": "bales.example", names["prefix"]: "/bales/", "timeoutMs": 30000, names["target"]: 1000, "priority": 0,
			"service": "bales", "attempts": 3, "stretch": 2, "public": false,
		}},
		"services": []any{map[string]any{"name": "bales", "admissionCheck": false, "standby": false}},
		"tenants": []any{map[string]any{
			"name": "t1", names["keys"]: []string{key}, "weight": 10, "maximum": map[string]any{"cpu": 0, names["memory"]: 0, "gpu": 0},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
	}
}

// settings returns the settings of a host, as the template of the deploy file has them, with the
// bounds of the site jerami-lelang.
func settings(h *hostProcess, seeds, storeAddress, metrics string) string {
	return fmt.Sprintf(`[entry]
name = %s
place = boyolali
power = 0.4
memory-mb = 284

[listen]
callers = %s
readiness = %s
peers = %s
metrics = %s

[peers]
seeds = %s

[store]
address = %s

[adviser]
address =

[cloud]
address =
rate =
duties =
duty-rate =

[bounds]
grace = 6s
max-hold = 6000ms
stop = 900ms
maintenance-s = 2
retention = 120s
far-factor = 1.5
config-apply = 2000ms
revoke-fail-closed = false

[log]
level = info
`, h.name, h.front, h.ready, h.control, metrics, seeds, storeAddress)
}

// startCell starts a cell and waits until its hosts are ready.
func startCell(program, dir string, hosts, minions int, runTime time.Duration) (c *cell, err error) {
	c = &cell{store: newStore(), dir: dir}
	storeAddress, err := serve(c.store)
	if err != nil {
		return c, err
	}
	c.store.put("op/config", config(7))
	for i := range minions {
		m := newMinion(fmt.Sprintf("bales-%d", i+1), runTime)
		m.kind = "plain"
		if i == 0 {
			m.kind = "wide"
		}
		address, err := serve(m)
		if err != nil {
			return c, err
		}
		p, front, err := newProxy(address)
		if err != nil {
			return c, err
		}
		m.address, c.proxies = front, append(c.proxies, p)
		go m.watchLease()
		c.minions = append(c.minions, m)
		go m.register(c.store)
	}
	var seeds []string
	for i := range hosts {
		h := &hostProcess{name: fmt.Sprintf("edge-%d", i+1)}
		for _, address := range []*string{&h.front, &h.ready, &h.control} {
			if *address, err = freeAddress(); err != nil {
				return c, err
			}
		}
		seeds = append(seeds, h.control)
		c.hosts = append(c.hosts, h)
	}
	for _, h := range c.hosts {
		metrics, err := freeAddress()
		if err != nil {
			return c, err
		}
		h.settings = filepath.Join(dir, h.name+".ini")
		if err := os.WriteFile(h.settings, []byte(settings(h, strings.Join(seeds, ","), storeAddress, metrics)), 0o600); err != nil {
			return c, err
		}
		if err := h.start(program, dir); err != nil {
			return c, err
		}
	}
	for _, h := range c.hosts {
		if err := h.awaitReady(15 * time.Second); err != nil {
			return c, err
		}
	}
	time.Sleep(2 * time.Second)
	return c, nil
}

func (h *hostProcess) start(program, dir string) error {
	log, err := os.OpenFile(filepath.Join(dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.cmd = exec.Command(program)
	h.cmd.Env = []string{"TURMERICSPREAD_SETTINGS=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	return h.cmd.Start()
}

func (h *hostProcess) awaitReady(within time.Duration) error {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + h.ready + "/-/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == 200 {
				record(h.name, "ready")
				return nil
			}
		}
	}
	return fmt.Errorf("%s did not get ready", h.name)
}

func (h *hostProcess) signal(s syscall.Signal) {
	record(h.name, "signal", "signal", s)
	_ = h.cmd.Process.Signal(s)
}

// stop ends all processes that were started.
func (c *cell) stop() {
	for _, h := range c.hosts {
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
			_ = h.cmd.Process.Kill()
			_ = h.cmd.Wait()
		}
	}
}

// answer is what a client got. Status is 0 without an answer.
type answer struct {
	status int
	body   string
	at     time.Time
}

// call makes a call of a client that waits for a time.
func call(h *hostProcess, method, id string, body any, wait time.Duration) (a answer) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	var in io.Reader
	if body != nil {
		data, _ := json.Marshal(body)
		in = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+"/bales/"+id, in)
	if err != nil {
		return a
	}
	req.Host = "bales.example"
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	record("client", "sends", "call", method, "id", id, "to", h.name, "deadline", wait)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		record("client", "no answer", "call", method, "id", id, "error", err)
		return answer{at: time.Now()}
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	a = answer{resp.StatusCode, strings.TrimSpace(string(data)), time.Now()}
	record("client", "answer", "call", method, "id", id, "status", a.status, "body", a.body)
	return a
}

// step describes a step of a job.
func step(count int, after ...int) map[string]any {
	s := map[string]any{"count": count, "cpu": 500, names["memory"]: 256, "estimateMs": 4000}
	if len(after) > 0 {
		s["after"] = after
	}
	return s
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: lab CASE HOST-PROGRAM FOLDER")
		os.Exit(failed)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, program, folder string) (status int) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer func() { _ = file.Close() }()
	recordFile = file
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	record("case", name, "trouble", trouble)
	cases := map[string]func(program, dir string) int{"late-store": lateStore, "pending": pendingCount, "silent": silentMinions}
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return failed
	}
	status = run(program, dir)
	record("case", "end", "status", status)
	if status == failed {
		fmt.Fprintln(os.Stderr, "the case couldn't run, see record.txt")
	}
	return status
}
