// Package e2e tests the real programs as separate processes on loopback.
package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/config"
	"turmericspread.org/turmericspread/internal/entry"
	"turmericspread.org/turmericspread/internal/standin"
	"turmericspread.org/turmericspread/pkg/client"
)

const operatorKey = "operator-test-key"

var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "turmericspread")
	if err != nil {
		panic(err)
	}
	binDir = dir
	build := exec.Command("go", "build", "-o", dir, "../../cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	status := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(status)
}

type process struct {
	name string
	cmd  *exec.Cmd
	log  *logBuffer
	done chan struct{}
}

// logBuffer keeps what a process printed.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

type cluster struct {
	t        testing.TB
	dir      string
	cell     *standin.Cell
	platform map[string]*process
	entries  []*process
	callers  []*client.Client // with the key of team settlement
	keys     map[string]string
}

// ports hands out port numbers below the ephemeral range.
var nextPort = 20000 + os.Getpid()%1000

func freePorts(t testing.TB, n int) int {
	t.Helper()
	for range 200 {
		base := nextPort
		nextPort += n
		if portsFree(base, n) {
			return base
		}
	}
	t.Fatal("no free ports")
	return 0
}

func portsFree(base, n int) bool {
	for i := range n {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+i))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

const cellFile = `[platform]
store = 127.0.0.1:%[1]d
host-list = 127.0.0.1:%[2]d
workers = 127.0.0.1:%[3]d
minions = 127.0.0.1:%[4]d
lag = 1s

%[5]s
[rack boyolali-r1]
place = boyolali
workers = 4
cores = 32
memory-gb = 64

[rack boyolali-r2]
place = boyolali
workers = 4
cores = 32
memory-gb = 64

[rack klaten-r1]
place = klaten
workers = 4
cores = 32
memory-gb = 64

[rack salatiga-r1]
place = salatiga
workers = 4
cores = 32
memory-gb = 64

[minions boyolali]
service = hay-auction
place = boyolali
count = 6

[minions klaten]
service = hay-auction
place = klaten
count = 6

[minions salatiga]
service = hay-auction
place = salatiga
count = 4
`

var places = []string{"boyolali", "klaten", "salatiga"}

// newCluster starts the stand-ins and n entry processes and waits until all
// shards are owned.
func newCluster(t testing.TB, n int) *cluster {
	t.Helper()
	const platformPorts, minions = 4, 16
	base := freePorts(t, platformPorts+minions+2*n)
	var entries strings.Builder
	for i := range n {
		fmt.Fprintf(&entries, "[entry e%d]\nplace = %s\nhttp-address = 127.0.0.1:%d\npeer-address = 127.0.0.1:%d\n\n",
			i+1, places[i%len(places)], base+platformPorts+minions+i, base+platformPorts+minions+n+i)
	}
	c := &cluster{t: t, dir: t.TempDir(), platform: map[string]*process{}, keys: map[string]string{}}
	path := filepath.Join(c.dir, "cell.ini")
	data := fmt.Sprintf(cellFile, base, base+1, base+2, base+platformPorts, entries.String())
	assert.NilError(t, os.WriteFile(path, []byte(data), 0o600))
	cell, err := standin.LoadCell(path)
	assert.NilError(t, err)
	c.cell = cell
	for _, part := range []string{"store", "host-list", "workers", "minions"} {
		c.platform[part] = c.run(part, "standin", "run", "--cell", path, "--only", part)
	}
	c.entries = make([]*process, n)
	for i := range n {
		c.callers = append(c.callers, &client.Client{Address: cell.Entries[i].HTTPAddress})
		c.startEntry(i)
	}
	t.Cleanup(c.stop)
	c.load()
	return c
}

func (c *cluster) run(name, program string, args ...string) *process {
	c.t.Helper()
	p := &process{name: name, log: &logBuffer{}, done: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(binDir, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	assert.NilError(c.t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	return p
}

// startEntry starts entry host i, again if it ran before.
func (c *cluster) startEntry(i int) {
	c.t.Helper()
	host := c.cell.Entries[i]
	var peers []string
	for _, other := range c.cell.Entries {
		peers = append(peers, other.PeerAddress)
	}
	path := filepath.Join(c.dir, host.Name+".ini")
	data := fmt.Sprintf("[entry]\nname = %s\nplace = %s\nhttp-address = %s\npeer-address = %s\npeers = %s\n"+
		"[store]\naddress = %s\n[host-list]\naddress = %s\n[operator]\nkey-hash = %s\n[log]\nlevel = info\n",
		host.Name, host.Place, host.HTTPAddress, host.PeerAddress, strings.Join(peers, ","),
		c.cell.StoreAddress, c.cell.HostListAddress, config.HashKey(operatorKey))
	assert.NilError(c.t, os.WriteFile(path, []byte(data), 0o600))
	c.entries[i] = c.run(host.Name, "turmericspread", "serve", "--settings", path)
}

func (c *cluster) stop() {
	for _, p := range c.entries {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	for _, p := range c.platform {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	if !c.t.Failed() {
		return
	}
	for _, p := range c.entries {
		lines := strings.Split(p.log.String(), "\n")
		c.t.Logf("log of %s:\n%s", p.name, strings.Join(lines[max(0, len(lines)-40):], "\n"))
	}
}

func (p *process) signal(t testing.TB, s os.Signal) {
	t.Helper()
	assert.NilError(t, p.cmd.Process.Signal(s))
}

// residentMB returns the resident memory of the process in MB.
func (p *process) residentMB(t testing.TB) float64 {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	assert.NilError(t, err)
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(rest, "kB")), 64)
			assert.NilError(t, err)
			return kb / 1024
		}
	}
	t.Fatal("no VmRSS")
	return 0
}

func (c *cluster) operator(i int) *client.Client {
	return &client.Client{Address: c.callers[i].Address, Key: operatorKey}
}

// load puts the example tables in force and grants each team a key.
func (c *cluster) load() {
	c.t.Helper()
	tables, err := config.Load("../../examples/co-operative/tables.ini")
	assert.NilError(c.t, err)
	c.eventually(20*time.Second, func() error {
		current := config.New()
		if err := c.operator(0).Call(context.Background(), http.MethodGet, "/v1/config", nil, current); err != nil {
			return err
		}
		tables.Version = current.Version
		return c.operator(0).Call(context.Background(), http.MethodPut, "/v1/config", tables, nil)
	})
	var version int64
	for team := range tables.Teams {
		var granted struct {
			ID      string `json:"id"`
			Key     string `json:"key"`
			Version int64  `json:"version"`
			Team    string `json:"team"`
		}
		body := struct {
			Team string `json:"team"`
		}{team}
		assert.NilError(c.t, c.operator(0).Call(context.Background(), http.MethodPost, "/v1/keys", body, &granted))
		c.keys[team], version = granted.Key, granted.Version
	}
	for i := range c.callers {
		c.callers[i].Key = c.keys["settlement"]
	}
	for i := range c.callers {
		c.awaitOwned(i, version)
	}
	for i := range c.callers {
		c.awaitHeard(i)
	}
	// The others learn it with the next heartbeats.
	time.Sleep(500 * time.Millisecond)
}

// awaitHeard waits until host i has heard all workers of its racks.
func (c *cluster) awaitHeard(i int) {
	c.t.Helper()
	c.eventually(10*time.Second, func() error {
		status, err := c.status(i)
		if err == nil && len(status.OutOfService) > 0 {
			err = fmt.Errorf("%s: %v", c.cell.Entries[i].Name, status.OutOfService)
		}
		return err
	})
}

// awaitOwned waits until host i has the version in force and sees an owner of
// every shard among the live hosts.
func (c *cluster) awaitOwned(i int, version int64) {
	c.t.Helper()
	c.eventually(20*time.Second, func() error {
		status, err := c.status(i)
		if err != nil {
			return err
		}
		if status.ConfigVersion < version {
			return fmt.Errorf("%s has version %d, not %d", c.cell.Entries[i].Name, status.ConfigVersion, version)
		}
		return allOwned(status)
	})
}

// allOwned reports the first shard whose owner is not a live member.
func allOwned(status entry.Status) error {
	live := map[string]bool{}
	for _, m := range status.Members {
		live[string(m.Instance)] = m.State == "live" || m.State == "this"
	}
	if len(status.Shards) == 0 {
		return fmt.Errorf("no shards yet")
	}
	for _, sh := range status.Shards {
		if !live[string(sh.Owner)] {
			return fmt.Errorf("shard %s is owned by %q", sh.Shard, sh.Owner)
		}
	}
	return nil
}

func (c *cluster) status(i int) (status entry.Status, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	err = c.operator(i).Call(ctx, http.MethodGet, "/v1/status", nil, &status)
	return status, err
}

func (c *cluster) dump(i int) (dump entry.Dump) {
	c.t.Helper()
	assert.NilError(c.t, c.operator(i).Call(context.Background(), http.MethodGet, "/v1/dump", nil, &dump))
	return dump
}

func (c *cluster) eventually(limit time.Duration, fn func() error) {
	c.t.Helper()
	deadline := time.Now().Add(limit)
	for {
		err := fn()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			c.t.Fatalf("not within %s: %v", limit, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// stats reads what a stand-in counted.
func stats[T any](t testing.TB, address string) (out T) {
	t.Helper()
	resp, err := http.Get("http://" + address + "/v1/stats")
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&out))
	return out
}

// post sends body to a stand-in.
func post(t testing.TB, address, path string, body any) {
	t.Helper()
	data, err := json.Marshal(body)
	assert.NilError(t, err)
	resp, err := http.Post("http://"+address+path, "application/json", bytes.NewReader(data))
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
	_ = resp.Body.Close()
}

// checkPlatform fails if the stand-ins counted a broken promise.
func (c *cluster) checkPlatform() {
	c.t.Helper()
	workers := stats[standin.WorkerStats](c.t, c.cell.WorkersAddress)
	assert.Equal(c.t, workers.DoubleRuns, int64(0), "tasks that ran in two places")
	assert.Equal(c.t, workers.DoubleStarts, int64(0), "non-idempotent tasks started twice")
	assert.Equal(c.t, workers.OverCommits, int64(0), "grants beyond a worker's capacity")
	for _, host := range c.cell.Hosts {
		if host.Kind != "minion" {
			continue
		}
		m := stats[standin.MinionStats](c.t, host.Address)
		assert.Equal(c.t, m.RefusedSlots, int64(0), host.Name)
		assert.Equal(c.t, m.RefusedConnections, int64(0), host.Name)
		assert.Equal(c.t, m.RepeatedRequests, int64(0), host.Name)
	}
}

// checkInvariants fails if a live process counted a broken invariant.
func (c *cluster) checkInvariants(entries ...int) {
	c.t.Helper()
	for _, i := range entries {
		for _, count := range c.dump(i).Invariants {
			assert.Equal(c.t, count.Broken, uint64(0), "%s: invariant %s: %s", c.cell.Entries[i].Name, count.Name, count.Last)
		}
	}
}
