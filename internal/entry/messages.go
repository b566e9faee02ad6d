package entry

import (
	"turmericspread.org/turmericspread/internal/config"
	"turmericspread.org/turmericspread/internal/job"
	"turmericspread.org/turmericspread/internal/rack"
	"turmericspread.org/turmericspread/internal/shard"
	"turmericspread.org/turmericspread/internal/slot"
)

// Names of the calls between entry processes.
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

// Info identifies an entry process. It is the value of the process's member key
// in the store.
type Info struct {
	Instance    shard.Instance `json:"instance"`
	Name        string         `json:"name"`
	Place       string         `json:"place"`
	PeerAddress string         `json:"peer-address"`
	HTTPAddress string         `json:"http-address"`
}

// Heartbeat describes the state of the sending process to a peer.
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
	// Working reports that the sender's lease to start work is valid. Heard
	// lists the processes from which the sender has recently received a
	// heartbeat with Working set; it confirms them to the receiver.
	Working bool             `json:"working,omitempty"`
	Heard   []shard.Instance `json:"heard,omitempty"`
	// Connected reports that the store has responded to the sender recently.
	Connected bool `json:"connected,omitempty"`
}

// HeartbeatReply is the response to a Heartbeat. Clear reports that the peer
// has no claim on shards of the sender in flight, and none that the sender has
// not observed.
type HeartbeatReply struct {
	Instance      shard.Instance `json:"instance"`
	Clear         bool           `json:"clear"`
	ConfigVersion int64          `json:"config-version"`
}

// ConfigRequest requests the tables of a peer.
type ConfigRequest struct{}

// ConfigReply contains the tables of a peer.
type ConfigReply struct {
	Tables *config.Tables `json:"tables"`
}
