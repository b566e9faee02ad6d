// Package hostlist is the client of the platform's list of live and leaving hosts.
// The list lags by seconds and can be unreachable for a long time. A host is assumed
// to be removed from the list only after everything on it has stopped running.
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

// Values of Host.Kind.
const (
	KindWorker = "worker"
	KindMinion = "minion"
	KindEntry  = "entry"
)

// StateLeaving is the state of a host that is about to leave the cell and must get no
// new work.
const StateLeaving = "leaving"

// Host is one entry of the list.
type Host struct {
	Name        string          `json:"name"`
	Kind        string          `json:"kind"`
	Address     string          `json:"address"`
	Place       string          `json:"place"` // data centre
	State       string          `json:"state"`
	Rack        string          `json:"rack,omitempty"`
	Capacity    resource.Vector `json:"capacity,omitzero"`
	Service     string          `json:"service,omitempty"`     // service of a minion
	Slots       int             `json:"slots,omitempty"`       // largest number of requests that a minion serves at a time
	Connections int             `json:"connections,omitempty"` // largest number of open connections to a minion
}

// Leaving reports whether the host is about to leave and must get no new work.
func (h Host) Leaving() bool { return h.State == StateLeaving }

// Client reads the host list from the service at one address.
type Client struct {
	// Do sends a request. Tests replace it.
	Do func(req *http.Request) (*http.Response, error)

	url string
}

// callTimeout bounds one read of the list.
const callTimeout = 2 * time.Second

// New returns a Client of the host list at address.
func New(address string) *Client {
	httpClient := &http.Client{Transport: &http.Transport{IdleConnTimeout: time.Minute}}
	return &Client{Do: httpClient.Do, url: "http://" + address + "/v1/hosts"}
}

// List returns all hosts on the list.
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
