// Package worker is the client of the platform's workers and holds everything
// that is assumed of them.
//
// # What is assumed
//
//   - A task runs under a lease. Grant creates a lease for a named task and its
//     resources that ends TTL after the worker received it; Start runs the task
//     if the lease still stands, and is refused otherwise. Both carry an epoch;
//     a worker may refuse epochs lower than the highest it saw, but nothing here
//     relies on it.
//   - When a lease ends, the worker stops the task before it answers List
//     without it.
//   - Stop is answered after the task has stopped.
//   - A finished task stays in the list, with its result, until it is forgotten
//     or its retention of at least one minute ends.
//   - Usage in reports lags by seconds.
//
// # Usage
//
//	client := worker.New()
//	w := client.At("127.0.0.1:7300", "c1")
//	err := w.Grant(ctx, worker.Grant{Task: id, Demand: want, TTLMS: 4000})
//	err = w.Start(ctx, worker.Start{Task: id, Payload: payload})
package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/resource"
)

// Error is the class of all errors of this package.
var Error = errs.Class("worker")

// Sentinel errors: the worker answered and did nothing.
var (
	ErrNoCapacity   = errs.New("worker: no room")
	ErrLeaseExpired = errs.New("worker: lease ended")
	ErrExists       = errs.New("worker: lease exists")
	ErrFenced       = errs.New("worker: epoch too low")
)

// Refused reports whether err says that the worker answered and did nothing.
func Refused(err error) bool {
	return errs.Is(err, ErrNoCapacity) || errs.Is(err, ErrLeaseExpired) || errs.Is(err, ErrExists) || errs.Is(err, ErrFenced)
}

// State is the state of a task on a worker.
type State string

// The states of a task on a worker.
const (
	StateGranted      State = "granted"
	StateRunning      State = "running"
	StateFinished     State = "finished"
	StateFailed       State = "failed"
	StateStopped      State = "stopped"
	StateLeaseExpired State = "lapsed"
)

// Live reports whether the task holds resources of the worker.
func (s State) Live() bool { return s == StateGranted || s == StateRunning }

// Grant is the body of a lease grant. Labels come back in reports unchanged.
type Grant struct {
	Task   string            `json:"task"`
	Epoch  int64             `json:"epoch"`
	Demand resource.Vector   `json:"want"`
	TTLMS  int64             `json:"ttl-ms"`
	Labels map[string]string `json:"labels,omitempty"`
}

// Start is the body of a start.
type Start struct {
	Task    string          `json:"task"`
	Epoch   int64           `json:"epoch"`
	Payload json.RawMessage `json:"payload,omitempty"`
	Resume  []byte          `json:"resume,omitempty"`
}

// Renew is the body of a renewal of several leases.
type Renew struct {
	Epoch int64    `json:"epoch"`
	TTLMS int64    `json:"ttl-ms"`
	Tasks []string `json:"tasks"`
}

// Task is a task in a report.
type Task struct {
	Task       string            `json:"task"`
	State      State             `json:"state"`
	Demand     resource.Vector   `json:"want"`
	Usage      resource.Vector   `json:"usage"`
	Labels     map[string]string `json:"labels,omitempty"`
	Output     string            `json:"output,omitempty"`
	Checkpoint []byte            `json:"checkpoint,omitempty"`
}

// Report is the answer to a renewal or a list.
type Report struct {
	Worker string `json:"worker"`
	Tasks  []Task `json:"tasks"`
}

// Client talks to workers. The contexts of its calls bound them.
type Client struct {
	// Do sends a request; tests replace it.
	Do func(req *http.Request) (*http.Response, error)
}

// New returns a Client.
func New() *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 4, MaxConnsPerHost: 16, IdleConnTimeout: time.Minute}
	httpClient := &http.Client{Transport: transport}
	return &Client{Do: httpClient.Do}
}

// Worker addresses one worker.
type Worker struct {
	client *Client
	base   string
}

// At returns the worker called name at address. The worker refuses calls meant
// for another name, so that a reused address does no harm.
func (c *Client) At(address, name string) Worker {
	return Worker{client: c, base: "http://" + address + "/v1/workers/" + url.PathEscape(name)}
}

// Grant asks for a lease.
func (w Worker) Grant(ctx context.Context, grant Grant) (err error) {
	defer Error.WrapP(&err)
	return w.call(ctx, http.MethodPost, "/grant", grant, nil)
}

// Start runs a task under its lease.
func (w Worker) Start(ctx context.Context, start Start) (err error) {
	defer Error.WrapP(&err)
	return w.call(ctx, http.MethodPost, "/start", start, nil)
}

// Renew prolongs leases to TTL from receipt and reports all tasks.
func (w Worker) Renew(ctx context.Context, renew Renew) (report Report, err error) {
	defer Error.WrapP(&err)
	err = w.call(ctx, http.MethodPost, "/renew", renew, &report)
	return report, err
}

// List reports all tasks.
func (w Worker) List(ctx context.Context) (report Report, err error) {
	defer Error.WrapP(&err)
	err = w.call(ctx, http.MethodGet, "/tasks", nil, &report)
	return report, err
}

// Stop ends the lease of task and answers once the task has stopped.
func (w Worker) Stop(ctx context.Context, task string) (err error) {
	defer Error.WrapP(&err)
	body := struct {
		Task string `json:"task"`
	}{task}
	return w.call(ctx, http.MethodPost, "/stop", body, nil)
}

// Checkpoint saves the progress of task and returns it.
func (w Worker) Checkpoint(ctx context.Context, task string) (state []byte, err error) {
	defer Error.WrapP(&err)
	body := struct {
		Task string `json:"task"`
	}{task}
	var answer struct {
		Checkpoint []byte `json:"checkpoint"`
	}
	err = w.call(ctx, http.MethodPost, "/checkpoint", body, &answer)
	return answer.Checkpoint, err
}

// Throttle bounds what task may use.
func (w Worker) Throttle(ctx context.Context, task string, limit resource.Vector) (err error) {
	defer Error.WrapP(&err)
	body := struct {
		Task  string          `json:"task"`
		Limit resource.Vector `json:"limit"`
	}{task, limit}
	return w.call(ctx, http.MethodPost, "/throttle", body, nil)
}

// Forget drops finished tasks from reports.
func (w Worker) Forget(ctx context.Context, tasks []string) (err error) {
	defer Error.WrapP(&err)
	body := struct {
		Tasks []string `json:"tasks"`
	}{tasks}
	return w.call(ctx, http.MethodPost, "/forget", body, nil)
}

func (w Worker) call(ctx context.Context, method, path string, in, out any) (err error) {
	data, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, w.base+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusInsufficientStorage:
		return ErrNoCapacity
	case http.StatusGone:
		return ErrLeaseExpired
	case http.StatusConflict:
		return ErrExists
	case http.StatusPreconditionFailed:
		return ErrFenced
	default:
		return errs.New("%s: status %d", path, resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(body, out)
}
