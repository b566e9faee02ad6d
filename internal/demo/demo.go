package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"turmericspread.org/turmericspread/examples"
	"turmericspread.org/turmericspread/internal/config"
	"turmericspread.org/turmericspread/internal/entry"
	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/settings"
	"turmericspread.org/turmericspread/internal/standin"
	"turmericspread.org/turmericspread/pkg/client"
)

// operatorKey is the operator key of all entry hosts of the demo.
const operatorKey = "operator-demo-key"

// demoLimit bounds the duration of the demo without the time added by --stay.
const demoLimit = 28 * time.Second

func newDemoCmd(stdout io.Writer) *cobra.Command {
	var stay bool
	cmd := &cobra.Command{
		Use:     "demo",
		Short:   "Run a whole cell in this process and demonstrate its functions",
		Example: "  standin demo\n  standin demo --stay",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			d := &demo{stdout: stdout}
			defer d.stop()
			ctx, cancel := context.WithTimeout(cmd.Context(), demoLimit)
			defer cancel()
			if err := d.run(ctx); err != nil {
				return err
			}
			if stay {
				d.printInstructions()
				<-cmd.Context().Done()
			}
			return nil
		},
	}
	cmd.Flags().BoolVar(&stay, "stay", false, "keep the cell running and print an address and a key")
	return cmd
}

// demo is one run of the demo.
type demo struct {
	stdout   io.Writer
	cell     *standin.Cell
	running  *standin.Running
	entries  []*entry.Entry
	exited   []chan error // one per entry host, receives the result of its Run
	cancel   context.CancelFunc
	operator *client.Client
	clients  []*client.Client // one per entry host
	key      string           // key of team settlement
	failed   bool             // a step failed
}

// run starts the cell and runs all steps, also after a step has failed.
func (d *demo) run(ctx context.Context) (err error) {
	if err := d.start(); err != nil {
		return err
	}
	if err := d.loadTables(ctx); err != nil {
		return err
	}
	d.runStep("request", func() (string, error) { return d.request(ctx) })
	d.runStep("batch", func() (string, error) { return d.batch(ctx) })
	var service string
	d.runStep("service", func() (out string, err error) { service, out, err = d.service(ctx); return out, err })
	d.runStep("gang", func() (string, error) { return d.gang(ctx) })
	d.runStep("cancel", func() (string, error) { return d.cancelJob(ctx, service) })
	if d.failed {
		return errors.New("a step of the demo failed")
	}
	return nil
}

// runStep runs a step of the demo and prints its duration and result.
func (d *demo) runStep(name string, fn func() (string, error)) {
	start := time.Now()
	out, err := fn()
	if err != nil {
		d.failed = true
		out = "FAILED: " + err.Error()
	}
	_, _ = fmt.Fprintf(d.stdout, "%-8s %6.2fs  %s\n", name, time.Since(start).Seconds(), out)
}

// start starts the stand-ins and, in this process, all entry hosts of the cell.
func (d *demo) start() (err error) {
	data, err := examples.Files.ReadFile("demo/cell.ini")
	if err != nil {
		return err
	}
	if d.cell, err = standin.ParseCell("demo/cell.ini", data); err != nil {
		return err
	}
	if err := freePorts(d.cell); err != nil {
		return err
	}
	if d.running, err = d.cell.Start(context.Background()); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	for _, host := range d.cell.Entries {
		set, err := entrySettings(d.cell, host)
		if err != nil {
			return err
		}
		e := entry.New(set, event.NewLogger(os.Stderr, "warn", "text"))
		done := make(chan error, 1)
		go func() { done <- e.Run(ctx) }()
		d.entries, d.exited = append(d.entries, e), append(d.exited, done)
		d.clients = append(d.clients, &client.Client{Address: host.HTTPAddress})
	}
	d.operator = &client.Client{Address: d.cell.Entries[0].HTTPAddress, Key: operatorKey}
	return nil
}

// entrySettings returns the settings of an entry host of a cell of stand-ins.
func entrySettings(cell *standin.Cell, host standin.EntryHost) (set settings.Settings, err error) {
	var peers []string
	for _, other := range cell.Entries {
		peers = append(peers, other.PeerAddress)
	}
	return settings.Parse(host.Name+".ini", fmt.Appendf(nil, `[entry]
name = %s
place = %s
http-address = %s
peer-address = %s
peers = %s
[store]
address = %s
[host-list]
address = %s
[operator]
key-hash = %s
`, host.Name, host.Place, host.HTTPAddress, host.PeerAddress, strings.Join(peers, ","),
		cell.StoreAddress, cell.HostListAddress, config.HashKey(operatorKey)))
}

// freePorts replaces the addresses of a cell by free addresses on loopback.
func freePorts(cell *standin.Cell) (err error) {
	minions := 0
	for _, host := range cell.Hosts {
		if host.Kind == "minion" {
			minions++
		}
	}
	targets := []*string{&cell.StoreAddress, &cell.HostListAddress, &cell.WorkersAddress}
	for i := range cell.Entries {
		targets = append(targets, &cell.Entries[i].HTTPAddress, &cell.Entries[i].PeerAddress)
	}
	for _, target := range targets {
		if *target, err = freeAddress(1); err != nil {
			return err
		}
	}
	if cell.MinionsAddress, err = freeAddress(minions); err != nil {
		return err
	}
	cell.AssignAddresses()
	return nil
}

// Ports that the demo listens on. They are below the range of outgoing connections, each of which
// keeps its port for a minute after its end.
const firstPort, ports = 10000, 6000

// freeAddress returns a loopback address at which n consecutive ports are free. It
// releases them before it returns, so that another process may take one of them.
func freeAddress(n int) (address string, err error) {
	const attempts = 100
	for range attempts {
		base := firstPort + rand.IntN(ports-n)
		address = fmt.Sprintf("127.0.0.1:%d", base)
		var listeners []net.Listener
		for i := 0; i < n && err == nil; i++ {
			var next net.Listener
			next, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+i))
			if err == nil {
				listeners = append(listeners, next)
			}
		}
		for _, listener := range listeners {
			_ = listener.Close()
		}
		if err == nil {
			return address, nil
		}
		err = nil
	}
	return "", errors.New("no consecutive free ports on loopback")
}

// loadTables activates the example tables, creates a key for team settlement, and
// waits until the cell is ready.
func (d *demo) loadTables(ctx context.Context) (err error) {
	data, err := examples.Files.ReadFile("demo/tables.ini")
	if err != nil {
		return err
	}
	tables, err := config.Parse("demo/tables.ini", data)
	if err != nil {
		return err
	}
	err = retry(ctx, func() error {
		current := config.New()
		if err := d.operator.Call(ctx, http.MethodGet, "/v1/config", nil, current); err != nil {
			return err
		}
		tables.Version = current.Version
		return d.operator.Call(ctx, http.MethodPut, "/v1/config", tables, nil)
	})
	if err != nil {
		return err
	}
	var granted struct {
		Key     string `json:"key"`
		Version int64  `json:"version"`
	}
	body := struct {
		Team string `json:"team"`
	}{"settlement"}
	if err := d.operator.Call(ctx, http.MethodPost, "/v1/keys", body, &granted); err != nil {
		return err
	}
	d.key = granted.Key
	for _, caller := range d.clients {
		caller.Key = d.key
	}
	return d.awaitReady(ctx, granted.Version)
}

// awaitReady waits until every entry host has at least the given version of the
// configuration and reports an owner for every shard.
func (d *demo) awaitReady(ctx context.Context, version int64) (err error) {
	for _, caller := range d.clients {
		err = retry(ctx, func() error {
			operator := &client.Client{Address: caller.Address, Key: operatorKey}
			var status entry.Status
			if err := operator.Call(ctx, http.MethodGet, "/v1/status", nil, &status); err != nil {
				return err
			}
			if status.ConfigVersion < version {
				return fmt.Errorf("entry host %s has configuration version %d", caller.Address, status.ConfigVersion)
			}
			if len(status.Shards) == 0 {
				return errors.New("the cell has no shards yet")
			}
			for _, sh := range status.Shards {
				if sh.Owner == "" {
					return fmt.Errorf("shard %s has no owner", sh.Shard)
				}
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// retry calls fn until it succeeds or ctx ends. It returns the last error of fn.
func retry(ctx context.Context, fn func() error) (err error) {
	const period = 100 * time.Millisecond
	for {
		err = fn()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(period):
		}
	}
}

// entryClient returns a client of entry host i. The steps use different hosts, to show
// that any of them serves any call.
func (d *demo) entryClient(i int) *client.Client { return d.clients[i%len(d.clients)] }

// request sends a request, repeats it until it succeeds, and returns the answer.
func (d *demo) request(ctx context.Context) (out string, err error) {
	var answer *client.Answer
	err = retry(ctx, func() (err error) {
		answer, err = d.entryClient(0).Request(ctx, "bid", []byte(`{"lot":7,"price":120}`))
		return err
	})
	if err != nil {
		return "", err
	}
	return "done: " + string(answer.Body), nil
}

// batch submits a batch job and reads its result from another entry host.
func (d *demo) batch(ctx context.Context) (out string, err error) {
	spec := client.Spec{
		Route: "report", Tasks: 6, Want: client.Resources{MilliCores: 500, MemoryMB: 256},
		Payload: json.RawMessage(`{"sleep-ms":200,"output":"priced"}`),
	}
	job, err := d.entryClient(0).Submit(ctx, spec)
	if err != nil {
		return "", err
	}
	job, err = d.entryClient(1).Wait(ctx, job.ID)
	if err != nil {
		return "", err
	}
	if job.State != "done" {
		return "", fmt.Errorf("job is %s: %s", job.State, job.Reason)
	}
	return fmt.Sprintf("done: job %s, %d tasks, result read from another entry host", job.ID, job.Counts["done"]), nil
}

// service starts a service job, waits until all its tasks run, and returns its ID.
func (d *demo) service(ctx context.Context) (id, out string, err error) {
	spec := client.Spec{
		Route: "watch", Tasks: 3, Want: client.Resources{MilliCores: 250, MemoryMB: 128},
		Payload: json.RawMessage(`{"forever":true}`),
	}
	job, err := d.entryClient(1).Submit(ctx, spec)
	if err != nil {
		return "", "", err
	}
	id = job.ID
	err = retry(ctx, func() (err error) {
		job, err = d.entryClient(2).Get(ctx, id)
		if err == nil && job.Counts["running"] < spec.Tasks {
			err = fmt.Errorf("%d of %d tasks are running: %s", job.Counts["running"], spec.Tasks, job.Reason)
		}
		return err
	})
	return id, fmt.Sprintf("done: %d tasks of service job %s are running", job.Counts["running"], id), err
}

// gang runs a gang, whose tasks start together.
func (d *demo) gang(ctx context.Context) (out string, err error) {
	spec := client.Spec{
		Route: "match", Tasks: 12, Want: client.Resources{MilliCores: 4000, MemoryMB: 1024},
		Payload: json.RawMessage(`{"sleep-ms":300,"output":"matched"}`),
	}
	job, err := d.entryClient(2).Submit(ctx, spec)
	if err != nil {
		return "", err
	}
	job, err = d.entryClient(0).Wait(ctx, job.ID)
	if err != nil {
		return "", err
	}
	if job.State != "done" {
		return "", fmt.Errorf("job is %s: %s", job.State, job.Reason)
	}
	return fmt.Sprintf("done: gang %s ran all %d tasks together", job.ID, job.Counts["done"]), nil
}

// cancelJob cancels a job and checks that no task of the cell still runs.
func (d *demo) cancelJob(ctx context.Context, id string) (out string, err error) {
	if _, err = d.entryClient(0).Cancel(ctx, id); err != nil {
		return "", err
	}
	job, err := d.entryClient(1).Wait(ctx, id)
	if err != nil {
		return "", err
	}
	running := d.running.Workers.Stats().Running
	if job.State != "cancelled" || running != 0 {
		return "", fmt.Errorf("job is %s, %d tasks are still running", job.State, running)
	}
	return fmt.Sprintf("done: job %s is cancelled, none of its tasks run", id), nil
}

// printInstructions prints the commands with which a user can try the running cell.
func (d *demo) printInstructions() {
	_, _ = fmt.Fprintf(d.stdout, "\nThe cell keeps running; interrupt the program to stop it. Try:\n")
	_, _ = fmt.Fprintf(d.stdout, "  export TURMERICSPREAD_ADDRESS=%s\n  export TURMERICSPREAD_KEY=%s\n", d.clients[0].Address, d.key)
	_, _ = fmt.Fprintf(d.stdout, "  go run ./cmd/turmericspread request bid --body '{\"lot\":7}'\n")
	_, _ = fmt.Fprintf(d.stdout, "  go run ./cmd/turmericspread submit report --tasks 4 --wait\n")
	_, _ = fmt.Fprintf(d.stdout, "  go run ./cmd/turmericspread status --key %s\n", operatorKey)
}

// stop ends the entry hosts and then the stand-ins. It also works after a failed start.
func (d *demo) stop() {
	if d.cancel != nil {
		d.cancel()
	}
	for _, done := range d.exited {
		<-done
	}
	if d.running != nil {
		d.running.Stop()
	}
}
