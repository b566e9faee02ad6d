// Package client is a client of a turmericspread cell. It submits jobs and sends
// requests through one of the cell's entry hosts.
//
// # Usage
//
//	c := &client.Client{Address: "127.0.0.1:7000", Key: "tsk-..."}
//	job, err := c.Submit(ctx, client.Spec{
//		Route: "settlement", Tasks: 4, Want: client.Resources{MilliCores: 500},
//	})
//	job, err = c.Wait(ctx, job.ID)
//	answer, err := c.Request(ctx, "bid", body)
//
// # Errors
//
// If the cell rejects a call, the method returns an *Error. Its Outcome is
// OutcomeNotRun if the call was not carried out and may be repeated safely, or
// OutcomeUnknown if it may have been carried out. Any other error comes from the
// transport, the context or the decoding of the response. After such an error the
// call may have been carried out.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

// The outcomes of calls.
const (
	// OutcomeDone means that the call was carried out.
	OutcomeDone = "done"
	// OutcomeNotRun means that the call was not carried out.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown means that the call may have been carried out.
	OutcomeUnknown = "unknown"
)

// Resources is an amount of each resource of a worker.
type Resources struct {
	MilliCores   int64 `json:"milli-cores,omitempty"`  // thousandths of a processor core
	MemoryMB     int64 `json:"memory-mb,omitempty"`    // megabytes
	Accelerators int64 `json:"accelerators,omitempty"` // whole devices
}

// Spec describes a job to submit.
type Spec struct {
	// SubmissionID makes the submission repeatable: submitting a Spec with an ID
	// that was used before returns the first job.
	SubmissionID string `json:"submission-id,omitempty"`
	// Route is a route of the configuration tables, which selects the job's pool.
	Route string `json:"route"`
	// Tasks is the number of tasks of the job.
	Tasks int `json:"tasks"`
	// Want is the resource demand of each task.
	Want Resources `json:"want"`
	// Payload is passed to each task.
	Payload json.RawMessage `json:"payload,omitempty"`
}

// Task is the state of one task of a job. State is one of "pending", "placing",
// "running", "uncertain", "stopping", "done", "failed", "cancelled" and "unknown".
// The state "unknown" is final: the task may have run, and is not restarted because
// it is not idempotent.
type Task struct {
	Index     int    `json:"index"` // position in the job, from 0
	State     string `json:"state"`
	Worker    string `json:"worker,omitempty"`
	Output    string `json:"output,omitempty"`
	Truncated bool   `json:"output-truncated,omitempty"` // Output is incomplete
	Failures  int    `json:"failures,omitempty"`         // failed attempts
	Reason    string `json:"reason,omitempty"`
}

// Job is the state of a job. State is one of "queued", "running", "cancelling",
// "done", "failed" and "cancelled". Counts holds the number of tasks in each task
// state.
type Job struct {
	ID      string         `json:"id"`
	Team    string         `json:"team"`
	Route   string         `json:"route"`
	Pool    string         `json:"pool"`
	Kind    string         `json:"kind"`
	State   string         `json:"state"`
	Created time.Time      `json:"created"`
	Counts  map[string]int `json:"counts"`
	Tasks   []Task         `json:"tasks"`
	Reason  string         `json:"reason,omitempty"`
	// History lists the events of the job and Standing the reasons why its tasks
	// wait. Only Explain sets them.
	History  []Note   `json:"history,omitempty"`
	Standing []string `json:"standing,omitempty"`
}

// Note is one entry of a job's history.
type Note struct {
	Time time.Time `json:"time"`
	Text string    `json:"text"`
}

// Over reports whether the job has ended and its state is final.
func (j *Job) Over() bool { return j.State == "done" || j.State == "failed" || j.State == "cancelled" }

// Error describes a call that the cell rejected or could not complete.
type Error struct {
	Status  int    `json:"-"`             // HTTP status
	Code    string `json:"error"`         // kind of error, such as "bad-request"
	Reason  string `json:"reason"`        // human-readable description
	Outcome string `json:"outcome"`       // OutcomeNotRun or OutcomeUnknown
	Job     string `json:"job,omitempty"` // ID of the affected job, if it is known
}

// Error returns the code, outcome, status and reason on one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s, status %d): %s", e.Code, e.Outcome, e.Status, e.Reason)
}

// Answer is the complete answer to a request.
type Answer struct {
	Status    int    // HTTP status
	RequestID string // ID that the cell assigned to the request
	Body      []byte
}

// Client is a client of one entry host. Its fields must not change after the first
// call. It is safe for concurrent use. It sets no timeouts: a call ends with its
// context or the timeout of HTTP.
type Client struct {
	// Address is the IP address and port of an entry host.
	Address string
	// Key is the key of a team, or the operator key for the operator's calls.
	Key string
	// HTTP sends the calls. If it is nil, http.DefaultClient is used.
	HTTP *http.Client
}

// Submit submits a job. The job is durable once Submit returns without an error.
// After an error with an unknown outcome, the job may have been accepted. Submitting
// the same SubmissionID again returns that job instead of creating another.
func (c *Client) Submit(ctx context.Context, spec Spec) (job *Job, err error) {
	job = &Job{}
	err = c.Call(ctx, http.MethodPost, "/v1/jobs", spec, job)
	return job, err
}

// Get returns the current state of a job.
func (c *Client) Get(ctx context.Context, id string) (job *Job, err error) {
	job = &Job{}
	err = c.Call(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id), nil, job)
	return job, err
}

// Wait polls the job until it has ended and returns its final state. It returns the
// first error of a poll. An error does not affect the job.
func (c *Client) Wait(ctx context.Context, id string) (job *Job, err error) {
	const longPoll = "20s" // the longest time that the host waits before it responds
	for {
		job = &Job{}
		err = c.Call(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id)+"?wait="+longPoll, nil, job)
		if err != nil || job.Over() {
			return job, err
		}
	}
}

// Explain returns a job with its history and the reasons why its tasks wait.
func (c *Client) Explain(ctx context.Context, id string) (job *Job, err error) {
	job = &Job{}
	err = c.Call(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id)+"?explain=true", nil, job)
	return job, err
}

// Cancel cancels a job and returns its state, which may still be "cancelling". Use
// Wait to wait until none of its tasks run.
func (c *Client) Cancel(ctx context.Context, id string) (job *Job, err error) {
	job = &Job{}
	err = c.Call(ctx, http.MethodPost, "/v1/jobs/"+url.PathEscape(id)+"/cancel", struct{}{}, job)
	return job, err
}

// Request sends a request to the service of a route and returns the complete answer.
// An error with OutcomeNotRun proves that no back-end server ran the request.
func (c *Client) Request(ctx context.Context, route string, body []byte) (answer *Answer, err error) {
	resp, err := c.do(ctx, http.MethodPost, "/v1/requests/"+url.PathEscape(route), body)
	if err != nil {
		return nil, err
	}
	if resp.header.Get("X-Outcome") != OutcomeDone {
		return nil, resp.refusal()
	}
	return &Answer{Status: resp.status, RequestID: resp.header.Get("X-Request-Id"), Body: resp.body}, nil
}

// Call sends in as JSON, unless it is nil, and decodes the JSON response into out,
// unless it is nil. It returns an *Error if the HTTP status is 300 or higher.
func (c *Client) Call(ctx context.Context, method, path string, in, out any) (err error) {
	var body []byte
	if in != nil {
		body, err = json.Marshal(in)
		if err != nil {
			return err
		}
	}
	resp, err := c.do(ctx, method, path, body)
	if err != nil {
		return err
	}
	if resp.status >= http.StatusMultipleChoices {
		return resp.refusal()
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(resp.body, out)
}

// response is a complete HTTP response.
type response struct {
	status int
	header http.Header
	body   []byte
}

// refusal converts the response to an *Error. The outcome is unknown if the body is
// not an error of the cell, such as a response from a proxy.
func (r *response) refusal() error {
	e := &Error{}
	if err := json.Unmarshal(r.body, e); err != nil || e.Code == "" {
		e = &Error{Code: "http", Reason: string(r.body), Outcome: OutcomeUnknown}
	}
	e.Status = r.status
	return e
}

// do sends an HTTP request with the key and reads the complete response.
func (c *Client) do(ctx context.Context, method, path string, body []byte) (out *response, err error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Content-Type", "application/json")
	httpClient := c.HTTP
	if httpClient == nil {
		httpClient = http.DefaultClient
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(resp.Body)
	out = &response{status: resp.StatusCode, header: resp.Header, body: data}
	return out, errors.Join(err, resp.Body.Close())
}
