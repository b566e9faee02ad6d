// Package client is the caller's client of a turmericspread cell.
//
// # Usage
//
//	c := &client.Client{Address: "127.0.0.1:7000", Key: "tsk-..."}
//	job, err := c.Submit(ctx, client.Spec{Route: "settlement", Tasks: 4, Want: client.Resources{MilliCores: 500}})
//	job, err = c.Wait(ctx, job.ID)
//	answer, err := c.Request(ctx, "bid", body)
//
// A refused call returns an *Error whose Outcome tells whether anything ran:
// OutcomeNotRun means that nothing did, OutcomeUnknown that it may have.
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
	OutcomeDone    = "done"
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)

// Resources is an amount of each resource of a worker.
type Resources struct {
	MilliCores   int64 `json:"milli-cores,omitempty"`
	MemoryMB     int64 `json:"memory-mb,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Spec is a job to submit. A repeated SubmissionID returns the first job.
type Spec struct {
	SubmissionID string          `json:"submission-id,omitempty"`
	Route        string          `json:"route"`
	Tasks        int             `json:"tasks"`
	Want         Resources       `json:"want"`
	Payload      json.RawMessage `json:"payload,omitempty"`
}

// Task is one task of a job.
type Task struct {
	Index     int    `json:"index"`
	State     string `json:"state"`
	Worker    string `json:"worker,omitempty"`
	Output    string `json:"output,omitempty"`
	Truncated bool   `json:"output-truncated,omitempty"`
	Failures  int    `json:"failures,omitempty"`
	Reason    string `json:"reason,omitempty"`
}

// Job is the state of a job.
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
	// History and Standing are filled in by Explain.
	History  []Note   `json:"history,omitempty"`
	Standing []string `json:"standing,omitempty"`
}

// Note is one line of a job's history.
type Note struct {
	Time time.Time `json:"time"`
	Text string    `json:"text"`
}

// Over reports whether the job changes no more.
func (j *Job) Over() bool { return j.State == "done" || j.State == "failed" || j.State == "cancelled" }

// Error is a refusal.
type Error struct {
	Status  int    `json:"-"`
	Code    string `json:"error"`
	Reason  string `json:"reason"`
	Outcome string `json:"outcome"`
	Job     string `json:"job,omitempty"`
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s, status %d): %s", e.Code, e.Outcome, e.Status, e.Reason)
}

// Answer is the whole answer to a request.
type Answer struct {
	Status    int
	RequestID string
	Body      []byte
}

// Client calls one entry host. Set its fields before use.
type Client struct {
	// Address is the IP number and port of an entry host.
	Address string
	// Key is a team's key, or the operator key for operators' calls.
	Key string
	// HTTP makes the calls; nil means http.DefaultClient.
	HTTP *http.Client
}

// Submit submits a job; it is durable when this returns without an error.
func (c *Client) Submit(ctx context.Context, spec Spec) (job *Job, err error) {
	job = &Job{}
	err = c.Call(ctx, http.MethodPost, "/v1/jobs", spec, job)
	return job, err
}

// Get returns the state of a job.
func (c *Client) Get(ctx context.Context, id string) (job *Job, err error) {
	job = &Job{}
	err = c.Call(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id), nil, job)
	return job, err
}

// Wait returns the job once it is over.
func (c *Client) Wait(ctx context.Context, id string) (job *Job, err error) {
	const hold = "20s"
	for {
		job = &Job{}
		err = c.Call(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id)+"?wait="+hold, nil, job)
		if err != nil || job.Over() {
			return job, err
		}
	}
}

// Explain returns a job with its history and what holds it back.
func (c *Client) Explain(ctx context.Context, id string) (job *Job, err error) {
	job = &Job{}
	err = c.Call(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id)+"?explain=true", nil, job)
	return job, err
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, id string) (job *Job, err error) {
	job = &Job{}
	err = c.Call(ctx, http.MethodPost, "/v1/jobs/"+url.PathEscape(id)+"/cancel", struct{}{}, job)
	return job, err
}

// Request sends a request by its route and returns the whole answer.
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

// Call makes a call with a JSON body and reads a JSON answer.
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

// response is a whole HTTP answer.
type response struct {
	status int
	header http.Header
	body   []byte
}

func (r *response) refusal() error {
	e := &Error{}
	if err := json.Unmarshal(r.body, e); err != nil || e.Code == "" {
		e = &Error{Code: "http", Reason: string(r.body), Outcome: OutcomeUnknown}
	}
	e.Status = r.status
	return e
}

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
