// Package event numbers the log events of the project. docs/EVENTS.md lists
// them; a test holds the page against this table.
//
// # Usage
//
//	log := event.NewLogger(os.Stderr, "info", "json")
//	event.ShardOwned.Log(log).Str("shard", id).Int64("epoch", epoch).Send()
package event

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

// Event is one kind of log line.
type Event struct {
	Number  int
	Level   zerolog.Level
	Message string
}

// The events. Numbers are never used again for another meaning.
var (
	Started           = define(100, zerolog.InfoLevel, "entry process started")
	Stopping          = define(101, zerolog.InfoLevel, "planned stop began")
	Stopped           = define(102, zerolog.InfoLevel, "entry process stopped")
	StopForced        = define(103, zerolog.WarnLevel, "planned stop cut short")
	StoreDown         = define(110, zerolog.WarnLevel, "store does not answer")
	StoreUp           = define(111, zerolog.InfoLevel, "store answers again")
	HostListDown      = define(112, zerolog.WarnLevel, "host list does not answer")
	MemberJoined      = define(120, zerolog.InfoLevel, "entry process joined")
	MemberSilent      = define(121, zerolog.WarnLevel, "entry process is silent")
	MemberGone        = define(122, zerolog.InfoLevel, "entry process is proved gone")
	ShardWaiting      = define(130, zerolog.InfoLevel, "shard claimed, waiting for the former owner")
	ShardOwned        = define(131, zerolog.InfoLevel, "shard owned")
	ShardReleased     = define(132, zerolog.InfoLevel, "shard released")
	RightLapsed       = define(133, zerolog.WarnLevel, "right to start work lapsed")
	RightRestored     = define(134, zerolog.InfoLevel, "right to start work restored")
	TableWrite        = define(135, zerolog.DebugLevel, "write of the assignment table")
	ConfigApplied     = define(140, zerolog.InfoLevel, "configuration applied")
	ConfigRefused     = define(141, zerolog.WarnLevel, "configuration refused")
	ConfigAccepted    = define(142, zerolog.InfoLevel, "configuration accepted")
	JobAccepted       = define(150, zerolog.InfoLevel, "job accepted")
	JobEnded          = define(151, zerolog.InfoLevel, "job ended")
	JobRefused        = define(152, zerolog.InfoLevel, "job refused")
	TaskStarted       = define(160, zerolog.DebugLevel, "task started")
	TaskEnded         = define(161, zerolog.DebugLevel, "task ended")
	TaskUnknown       = define(162, zerolog.WarnLevel, "task outcome unknown")
	TaskPreempted     = define(163, zerolog.InfoLevel, "task preempted for another team's share")
	TaskThrottled     = define(164, zerolog.InfoLevel, "task throttled to what it declared")
	TaskEvicted       = define(165, zerolog.WarnLevel, "task stopped because its worker ran out of memory")
	WorkerUnreachable = define(170, zerolog.WarnLevel, "worker does not answer")
	WorkerReachable   = define(171, zerolog.InfoLevel, "worker answers again")
	WorkerQuarantined = define(172, zerolog.WarnLevel, "worker quarantined")
	WorkerReleased    = define(173, zerolog.InfoLevel, "worker released from quarantine")
	MinionHeard       = define(174, zerolog.InfoLevel, "minion heard after its set changed owner")
	RequestDone       = define(180, zerolog.DebugLevel, "request done")
	RequestNotRun     = define(181, zerolog.InfoLevel, "request not run")
	RequestUnknown    = define(182, zerolog.WarnLevel, "request outcome unknown")
	InvariantBroken   = define(190, zerolog.ErrorLevel, "invariant broken")
)

var all []Event

func define(number int, level zerolog.Level, message string) Event {
	e := Event{number, level, message}
	all = append(all, e)
	return e
}

// All lists the events by number.
func All() []Event { return all }

// Log begins a line of the event; the caller adds fields and sends it.
func (e Event) Log(log zerolog.Logger) *zerolog.Event {
	return log.WithLevel(e.Level).Int("event", e.Number).Str("message", e.Message)
}

// NewLogger returns a logger that writes to w in format json or text.
func NewLogger(w io.Writer, level, format string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	if format == "text" {
		w = zerolog.ConsoleWriter{Out: w, NoColor: true, TimeFormat: time.RFC3339}
	}
	return zerolog.New(w).Level(parsed).With().Timestamp().Logger()
}
