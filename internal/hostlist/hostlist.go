// Package hostlist is the client of the platform's lagging list of live and
// leaving hosts. It is assumed that a host is dropped from the list only once
// it runs nothing any more, that the list lags by seconds, and that it can be
// unreachable for long.
//
// # Usage
//
//	client := hostlist.New("127.0.0.1:7200")
//	hosts, err := client.List(ctx)
package hostlist

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/resource"
)

// Error is the class of all errors of this package.
var Error = errs.Class("host list")

// The kinds of hosts.
const (
	KindWorker = "worker"
	KindMinion = "minion"
	KindEntry  = "entry"
)

// StateLeaving marks a host that must get no new work.
const StateLeaving = "leaving"

// Host is one row of the list.
type Host struct {
	Name        string          `json:"name"`
	Kind        string          `json:"kind"`
	Address     string          `json:"address"`
	Place       string          `json:"place"`
	State       string          `json:"state"`
	Rack        string          `json:"rack,omitempty"`
	Capacity    resource.Vector `json:"capacity,omitzero"`
	Service     string          `json:"service,omitempty"`
	Slots       int             `json:"slots,omitempty"`
	Connections int             `json:"connections,omitempty"`
}

// Leaving reports whether the host must get no new work.
func (h Host) Leaving() bool { return h.State == StateLeaving }

// Client reads the list at one address.
type Client struct {
	// Do sends a request; tests replace it.
	Do func(req *http.Request) (*http.Response, error)

	url string
}

const callTimeout = 2 * time.Second

// New returns a Client.
func New(address string) *Client {
	httpClient := &http.Client{Transport: &http.Transport{IdleConnTimeout: time.Minute}}
	return &Client{Do: httpClient.Do, url: "http://" + address + "/v1/hosts"}
}

// List returns all hosts of the list.
func (c *Client) List(ctx context.Context) (hosts []Host, err error) {
	defer Error.WrapP(&err)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errs.New("status %d", resp.StatusCode)
	}
	err = json.NewDecoder(resp.Body).Decode(&hosts)
	return hosts, err
}
