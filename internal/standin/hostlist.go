package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"turmericspread.org/turmericspread/internal/hostlist"
	"turmericspread.org/turmericspread/internal/httpserve"
)

// StateGone is the state that removes a host from the list.
const StateGone = "gone"

// HostList is a stand-in for the platform's list of hosts.
type HostList struct {
	// Lag is the delay after which a change requested over HTTP appears in the list.
	Lag time.Duration

	mu    sync.Mutex
	hosts []hostlist.Host
	down  bool // reject reads of the list
}

// NewHostList returns a list of the given hosts.
func NewHostList(hosts []hostlist.Host, lag time.Duration) *HostList {
	return &HostList{Lag: lag, hosts: hosts}
}

// Routes registers the handlers of the list on srv.
func (l *HostList) Routes(srv *server.Hertz) {
	srv.GET("/v1/hosts", l.handleList)
	srv.POST("/v1/hosts/:name/state", l.handleState)
	srv.POST("/v1/fault", l.handleFault)
}

// handleFault starts or ends a simulated outage of the list.
func (l *HostList) handleFault(_ context.Context, c *app.RequestContext) {
	var fault struct {
		Down bool `json:"down"`
	}
	if err := httpserve.Decode(c, &fault); err != nil {
		c.SetStatusCode(400)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = fault.Down
}

func (l *HostList) handleList(_ context.Context, c *app.RequestContext) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		c.SetStatusCode(503)
		return
	}
	httpserve.JSON(c, 200, l.hosts)
}

// handleState changes the state of a host after the lag.
func (l *HostList) handleState(_ context.Context, c *app.RequestContext) {
	var body struct {
		State string `json:"state"`
	}
	if err := httpserve.Decode(c, &body); err != nil {
		c.SetStatusCode(400)
		return
	}
	name := c.Param("name")
	time.AfterFunc(l.Lag, func() { l.SetState(name, body.State) })
}

// SetState changes the state of the host called name without the lag.
func (l *HostList) SetState(name, state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state == StateGone {
		l.hosts = slices.DeleteFunc(slices.Clone(l.hosts), func(h hostlist.Host) bool { return h.Name == name })
		return
	}
	for i := range l.hosts {
		if l.hosts[i].Name == name {
			l.hosts[i].State = state
		}
	}
}
