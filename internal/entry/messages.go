package entry

import (
	"turmericspread.org/turmericspread/internal/config"
	"turmericspread.org/turmericspread/internal/job"
	"turmericspread.org/turmericspread/internal/rack"
	"turmericspread.org/turmericspread/internal/shard"
	"turmericspread.org/turmericspread/internal/slot"
)

// The names of the calls between entry processes.
const (
	callHeartbeat     = "heartbeat"
	callConfig        = "config"
	callAssign        = "rack-place"
	callStartReserved = "rack-start-held"
	callStop          = "rack-stop"
	callReport        = "rack-report"
	callEnded         = "team-ended"
	callSubmit        = "team-submit"
	callGet           = "team-get"
	callCancel        = "team-cancel"
	callServe         = "minion-serve"
)

// Info identifies an entry process. It is the value of its member key.
type Info struct {
	Instance    shard.Instance `json:"instance"`
	Name        string         `json:"name"`
	Place       string         `json:"place"`
	PeerAddress string         `json:"peer-address"`
	HTTPAddress string         `json:"http-address"`
}

// Heartbeat tells a peer what this process has and does.
type Heartbeat struct {
	From          Info             `json:"from"`
	Leaving       bool             `json:"leaving,omitempty"`
	Grant         bool             `json:"grant,omitempty"`
	Revisions     map[string]int64 `json:"revisions"`
	ConfigVersion int64            `json:"config-version"`
	Racks         []rack.Summary   `json:"racks,omitempty"`
	Sets          []slot.Summary   `json:"sets,omitempty"`
	Teams         []job.Summary    `json:"teams,omitempty"`
	Members       []Info           `json:"members,omitempty"`
	// Working tells that the sender's right to start work lasts, Heard lists
	// the processes that it hears and that told the same.
	Working bool             `json:"working,omitempty"`
	Heard   []shard.Instance `json:"heard,omitempty"`
	// Connected tells that the store answered the sender lately.
	Connected bool `json:"connected,omitempty"`
}

// HeartbeatReply answers a Heartbeat.
type HeartbeatReply struct {
	Instance      shard.Instance `json:"instance"`
	Clear         bool           `json:"clear"`
	ConfigVersion int64          `json:"config-version"`
}

// ConfigRequest asks a peer for its tables.
type ConfigRequest struct{}

// ConfigReply carries tables.
type ConfigReply struct {
	Tables *config.Tables `json:"tables"`
}
