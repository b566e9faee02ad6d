// Package e2e contains end-to-end tests. They run the programs of this project as
// separate processes on loopback, with stand-ins for the platform.
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

// binDir is the directory of the programs built for the tests.
var binDir string

// TestMain builds the programs of this project before the tests run.
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

// process is a started program.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *logBuffer
	done chan struct{}
}

// logBuffer collects the output of a process.
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

// cluster is a cell whose stand-ins and entry hosts run as separate processes.
type cluster struct {
	t        testing.TB
	dir      string
	cell     *standin.Cell
	platform map[string]*process
	entries  []*process
	clients  []*client.Client  // one per entry host, with the key of team settlement
	keys     map[string]string // by team
	settings string            // further lines of the section [entry]
}

// nextPort is the next port number to try. The numbers are below the ephemeral range,
// so that outgoing connections do not take them. They depend on the process ID, so
// that concurrent test processes rarely collide.
var nextPort = 20000 + os.Getpid()%1000

// findFreePorts returns the first of n consecutive free ports.
func findFreePorts(t testing.TB, n int) int {
	t.Helper()
	for range 200 {
		base := nextPort
		nextPort += n
		if arePortsFree(base, n) {
			return base
		}
	}
	t.Fatal("no consecutive free ports")
	return 0
}

func arePortsFree(base, n int) bool {
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

var dataCentres = []string{"boyolali", "klaten", "salatiga"}

// newCluster starts the stand-ins and n entry hosts, loads the example tables, and
// waits until all shards have owners. Settings are further lines of the section [entry].
func newCluster(t testing.TB, n int, settings ...string) *cluster {
	t.Helper()
	const platformPorts, minions = 4, 16
	base := findFreePorts(t, platformPorts+minions+2*n)
	var entries strings.Builder
	for i := range n {
		fmt.Fprintf(&entries, "[entry e%d]\nplace = %s\nhttp-address = 127.0.0.1:%d\npeer-address = 127.0.0.1:%d\n\n",
			i+1, dataCentres[i%len(dataCentres)], base+platformPorts+minions+i, base+platformPorts+minions+n+i)
	}
	c := &cluster{t: t, dir: t.TempDir(), platform: map[string]*process{}, keys: map[string]string{}, settings: strings.Join(settings, "\n")}
	path := filepath.Join(c.dir, "cell.ini")
	data := fmt.Sprintf(cellFile, base, base+1, base+2, base+platformPorts, entries.String())
	assert.NilError(t, os.WriteFile(path, []byte(data), 0o600))
	cell, err := standin.LoadCell(path)
	assert.NilError(t, err)
	c.cell = cell
	for _, part := range []string{"store", "host-list", "workers", "minions"} {
		c.platform[part] = c.startProgram(part, "standin", "run", "--cell", path, "--only", part)
	}
	c.entries = make([]*process, n)
	for i := range n {
		c.clients = append(c.clients, &client.Client{Address: cell.Entries[i].HTTPAddress})
		c.startEntry(i)
	}
	t.Cleanup(c.stop)
	c.loadTables()
	return c
}

// startProgram starts a program with its output in a logBuffer.
func (c *cluster) startProgram(name, program string, args ...string) *process {
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

// startEntry starts entry host i, also if it ran before.
func (c *cluster) startEntry(i int) {
	c.t.Helper()
	host := c.cell.Entries[i]
	var peers []string
	for _, other := range c.cell.Entries {
		peers = append(peers, other.PeerAddress)
	}
	path := filepath.Join(c.dir, host.Name+".ini")
	data := fmt.Sprintf("[entry]\nname = %s\nplace = %s\nhttp-address = %s\npeer-address = %s\npeers = %s\n%s\n"+
		"[store]\naddress = %s\n[host-list]\naddress = %s\n[operator]\nkey-hash = %s\n[log]\nlevel = info\n",
		host.Name, host.Place, host.HTTPAddress, host.PeerAddress, strings.Join(peers, ","), c.settings,
		c.cell.StoreAddress, c.cell.HostListAddress, config.HashKey(operatorKey))
	assert.NilError(c.t, os.WriteFile(path, []byte(data), 0o600))
	c.entries[i] = c.startProgram(host.Name, "turmericspread", "serve", "--settings", path)
}

// stop kills all processes, and logs the last output of each entry host if the test
// failed.
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

// residentMB returns the resident memory of the process in MiB.
func (p *process) residentMB(t testing.TB) float64 {
	t.Helper()
	mb := p.statusMB("VmRSS:")
	assert.Assert(t, mb > 0, "VmRSS is missing in the status of the process")
	return mb
}

// statusMB returns a field of the status of the process in MiB, or 0 if the process has ended.
func (p *process) statusMB(field string) float64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, field); ok {
			kb, _ := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(rest, "kB")), 64)
			return kb / 1024
		}
	}
	return 0
}

// operator returns a client of entry host i with the operator key.
func (c *cluster) operator(i int) *client.Client {
	return &client.Client{Address: c.clients[i].Address, Key: operatorKey}
}

// loadTables activates the example tables, creates a key for each team, and waits
// until all entry hosts are ready.
func (c *cluster) loadTables() {
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
	for i := range c.clients {
		c.clients[i].Key = c.keys["settlement"]
	}
	for i := range c.clients {
		c.awaitOwned(i, version)
	}
	for i := range c.clients {
		c.awaitWorkers(i)
	}
	// The other hosts receive the state of the workers with the next heartbeats.
	time.Sleep(500 * time.Millisecond)
}

// awaitWorkers waits until entry host i considers no target out of service, that is,
// until all workers of its racks have responded.
func (c *cluster) awaitWorkers(i int) {
	c.t.Helper()
	c.eventually(10*time.Second, func() error {
		status, err := c.status(i)
		if err == nil && len(status.OutOfService) > 0 {
			err = fmt.Errorf("%s: %v", c.cell.Entries[i].Name, status.OutOfService)
		}
		return err
	})
}

// awaitOwned waits until entry host i has at least the given version of the
// configuration and observes a live owner of every shard.
func (c *cluster) awaitOwned(i int, version int64) {
	c.t.Helper()
	c.eventually(20*time.Second, func() error {
		status, err := c.status(i)
		if err != nil {
			return err
		}
		if status.ConfigVersion < version {
			return fmt.Errorf("%s has configuration version %d, expected %d", c.cell.Entries[i].Name, status.ConfigVersion, version)
		}
		return allOwned(status)
	})
}

// allOwned returns an error that names the first shard whose owner is not live.
func allOwned(status entry.Status) error {
	live := map[string]bool{}
	for _, m := range status.Members {
		live[string(m.Instance)] = m.State == "live" || m.State == "this"
	}
	if len(status.Shards) == 0 {
		return fmt.Errorf("the cell has no shards yet")
	}
	for _, sh := range status.Shards {
		if !live[string(sh.Owner)] {
			return fmt.Errorf("shard %s has the owner %q, which is not live", sh.Shard, sh.Owner)
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

// eventually calls fn until it returns nil, and ends the test after the timeout.
func (c *cluster) eventually(timeout time.Duration, fn func() error) {
	c.t.Helper()
	deadline := time.Now().Add(timeout)
	for {
		err := fn()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			c.t.Fatalf("condition not met within %s: %v", timeout, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// standInStats returns the counters of a stand-in.
func standInStats[T any](t testing.TB, address string) (out T) {
	t.Helper()
	resp, err := http.Get("http://" + address + "/v1/stats")
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&out))
	return out
}

// postToStandIn sends body as JSON to a stand-in.
func postToStandIn(t testing.TB, address, path string, body any) {
	t.Helper()
	data, err := json.Marshal(body)
	assert.NilError(t, err)
	resp, err := http.Post("http://"+address+path, "application/json", bytes.NewReader(data))
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
	_ = resp.Body.Close()
}

// checkStandIns fails the test if a stand-in counted a fault of the scheduler.
func (c *cluster) checkStandIns() {
	c.t.Helper()
	workers := standInStats[standin.WorkerStats](c.t, c.cell.WorkersAddress)
	assert.Equal(c.t, workers.DoubleRuns, int64(0), "tasks that ran twice at a time")
	assert.Equal(c.t, workers.DoubleStarts, int64(0), "non-idempotent tasks started twice")
	assert.Equal(c.t, workers.OverCommits, int64(0), "grants that exceed the capacity of a worker")
	for _, host := range c.cell.Hosts {
		if host.Kind != "minion" {
			continue
		}
		m := standInStats[standin.MinionStats](c.t, host.Address)
		assert.Equal(c.t, m.RefusedSlots, int64(0), host.Name)
		assert.Equal(c.t, m.RefusedConnections, int64(0), host.Name)
		assert.Equal(c.t, m.RepeatedRequests, int64(0), host.Name)
	}
}

// checkInvariants fails the test if one of the given entry hosts counted a violation
// of an invariant.
func (c *cluster) checkInvariants(entries ...int) {
	c.t.Helper()
	for _, i := range entries {
		for _, count := range c.dump(i).Invariants {
			assert.Equal(c.t, count.Broken, uint64(0), "%s: invariant %s: %s", c.cell.Entries[i].Name, count.Name, count.Last)
		}
	}
}
