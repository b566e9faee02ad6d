// Package worker is a client of the platform's workers.
//
// # Assumptions about workers
//
//   - A task runs under a lease. Grant creates a lease for a task ID and reserves
//     the task's resources. The lease expires one TTL after the worker received the
//     grant. Start runs the task if its lease is valid and is rejected otherwise.
//     Both requests carry an epoch. A worker may reject epochs lower than the
//     highest it has received, but this project does not rely on it.
//   - When a lease expires, the worker stops the task before it removes the task
//     from its list.
//   - The worker responds to Stop after the task has stopped.
//   - A finished task stays in the list, with its result, until Forget or until its
//     retention period of at least one minute has passed.
//   - The usage in reports lags by a few seconds.
//
// # Usage
//
//	client := worker.New()
//	w := client.At("127.0.0.1:7300", "c1")
//	err := w.Grant(ctx, worker.Grant{Task: id, Demand: demand, TTLMS: 4000})
//	err = w.Start(ctx, worker.Start{Task: id, Payload: payload})
package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/halfopen"
	"turmericspread.org/turmericspread/internal/resource"
)

// Error is the class of all errors of this package.
var Error = errs.Class("worker")

// Errors with which a worker rejects a request without carrying it out. After any
// other error the request may have been carried out.
var (
	// ErrNoCapacity means that the worker lacks free resources for the grant.
	ErrNoCapacity = errs.New("worker: no room")
	// ErrLeaseExpired means that the task has no valid lease.
	ErrLeaseExpired = errs.New("worker: lease ended")
	// ErrExists means that the worker already has a lease for the task ID.
	ErrExists = errs.New("worker: lease exists")
	// ErrFenced means that the worker has received a higher epoch.
	ErrFenced = errs.New("worker: epoch too low")
)

// Refused reports whether err proves that the worker rejected the request without
// carrying it out.
func Refused(err error) bool {
	return errs.Is(err, ErrNoCapacity) || errs.Is(err, ErrLeaseExpired) || errs.Is(err, ErrExists) || errs.Is(err, ErrFenced)
}

// State is the state of a task on a worker.
type State string

// The states of a task on a worker. A granted task has a lease and is not started.
const (
	StateGranted      State = "granted"
	StateRunning      State = "running"
	StateFinished     State = "finished"
	StateFailed       State = "failed"
	StateStopped      State = "stopped"
	StateLeaseExpired State = "lapsed"
)

// Live reports whether a task in this state occupies resources of the worker.
func (s State) Live() bool { return s == StateGranted || s == StateRunning }

// Grant is the body of a request for a lease. The worker returns the labels
// unchanged in its reports.
type Grant struct {
	Task   string            `json:"task"`
	Epoch  int64             `json:"epoch"`
	Demand resource.Vector   `json:"want"`
	TTLMS  int64             `json:"ttl-ms"`
	Labels map[string]string `json:"labels,omitempty"`
}

// Start is the body of a request to start a task. Resume holds a checkpoint from
// which the task continues; it is empty for a task that starts from the beginning.
type Start struct {
	Task    string          `json:"task"`
	Epoch   int64           `json:"epoch"`
	Payload json.RawMessage `json:"payload,omitempty"`
	Resume  []byte          `json:"resume,omitempty"`
}

// Renew is the body of a request to renew the leases of several tasks.
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

// Report lists the tasks of a worker. It is the response to Renew and List.
type Report struct {
	Worker string `json:"worker"`
	Tasks  []Task `json:"tasks"`
}

// Client is a client of any number of workers. Its calls have no timeout of their
// own and end with their contexts. It is safe for concurrent use.
type Client struct {
	// Do sends a request. Tests replace it.
	Do func(req *http.Request) (*http.Response, error)
}

// New returns a Client.
func New() *Client {
	dialer := &net.Dialer{}
	httpClient := &http.Client{Transport: halfopen.NewTransport(dialer.DialContext, func(dial halfopen.Dial) *http.Transport {
		return &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 4, MaxConnsPerHost: 16, IdleConnTimeout: time.Minute}
	})}
	return &Client{Do: httpClient.Do}
}

// Worker is a client of one worker.
type Worker struct {
	client  *Client
	baseURL string
}

// At returns a client of the worker called name at address. A worker rejects
// requests for another name, so that requests sent to a reused address have no
// effect.
func (c *Client) At(address, name string) Worker {
	return Worker{client: c, baseURL: "http://" + address + "/v1/workers/" + url.PathEscape(name)}
}

// Grant requests a lease for a task.
func (w Worker) Grant(ctx context.Context, grant Grant) (err error) {
	defer Error.WrapP(&err)
	return w.call(ctx, http.MethodPost, "/grant", grant, nil)
}

// Start starts a task under its lease.
func (w Worker) Start(ctx context.Context, start Start) (err error) {
	defer Error.WrapP(&err)
	return w.call(ctx, http.MethodPost, "/start", start, nil)
}

// Renew extends the leases of the named tasks to one TTL after receipt and returns
// all tasks of the worker.
func (w Worker) Renew(ctx context.Context, renew Renew) (report Report, err error) {
	defer Error.WrapP(&err)
	err = w.call(ctx, http.MethodPost, "/renew", renew, &report)
	return report, err
}

// List returns all tasks of the worker.
func (w Worker) List(ctx context.Context) (report Report, err error) {
	defer Error.WrapP(&err)
	err = w.call(ctx, http.MethodGet, "/tasks", nil, &report)
	return report, err
}

// Stop ends the lease of task and returns after the task has stopped.
func (w Worker) Stop(ctx context.Context, task string) (err error) {
	defer Error.WrapP(&err)
	body := struct {
		Task string `json:"task"`
	}{task}
	return w.call(ctx, http.MethodPost, "/stop", body, nil)
}

// Checkpoint makes the worker save the progress of task and returns the saved
// state, which Start accepts as Resume.
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

// Throttle limits the resources that task may use.
func (w Worker) Throttle(ctx context.Context, task string, limit resource.Vector) (err error) {
	defer Error.WrapP(&err)
	body := struct {
		Task  string          `json:"task"`
		Limit resource.Vector `json:"limit"`
	}{task, limit}
	return w.call(ctx, http.MethodPost, "/throttle", body, nil)
}

// Forget removes finished tasks from the worker's list.
func (w Worker) Forget(ctx context.Context, tasks []string) (err error) {
	defer Error.WrapP(&err)
	body := struct {
		Tasks []string `json:"tasks"`
	}{tasks}
	return w.call(ctx, http.MethodPost, "/forget", body, nil)
}

// call sends a request, translates the status of the response to an error, and
// decodes the JSON response into out, unless out is nil.
func (w Worker) call(ctx context.Context, method, path string, in, out any) (err error) {
	data, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, w.baseURL+path, bytes.NewReader(data))
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
