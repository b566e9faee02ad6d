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
	Started                = define(100, zerolog.InfoLevel, "entry process started")
	Stopping               = define(101, zerolog.InfoLevel, "planned stop began")
	Stopped                = define(102, zerolog.InfoLevel, "entry process stopped")
	StopForced             = define(103, zerolog.WarnLevel, "planned stop cut short")
	Reloaded               = define(104, zerolog.InfoLevel, "settings reloaded")
	ReloadRefused          = define(105, zerolog.WarnLevel, "settings not reloaded")
	StoreDown              = define(110, zerolog.WarnLevel, "store does not answer")
	StoreUp                = define(111, zerolog.InfoLevel, "store answers again")
	HostListDown           = define(112, zerolog.WarnLevel, "host list does not answer")
	MemberJoined           = define(120, zerolog.InfoLevel, "entry process joined")
	MemberUnresponsive     = define(121, zerolog.WarnLevel, "entry process is silent")
	MemberGone             = define(122, zerolog.InfoLevel, "entry process is proved gone")
	ShardWaiting           = define(130, zerolog.InfoLevel, "shard claimed, waiting for the former owner")
	ShardOwned             = define(131, zerolog.InfoLevel, "shard owned")
	ShardReleased          = define(132, zerolog.InfoLevel, "shard released")
	LeaseExpired           = define(133, zerolog.WarnLevel, "right to start work lapsed")
	LeaseRestored          = define(134, zerolog.InfoLevel, "right to start work restored")
	TableWrite             = define(135, zerolog.DebugLevel, "write of the assignment table")
	ConfigApplied          = define(140, zerolog.InfoLevel, "configuration applied")
	ConfigRefused          = define(141, zerolog.WarnLevel, "configuration refused")
	ConfigAccepted         = define(142, zerolog.InfoLevel, "configuration accepted")
	JobAccepted            = define(150, zerolog.InfoLevel, "job accepted")
	JobEnded               = define(151, zerolog.InfoLevel, "job ended")
	JobRefused             = define(152, zerolog.InfoLevel, "job refused")
	TaskStarted            = define(160, zerolog.DebugLevel, "task started")
	TaskEnded              = define(161, zerolog.DebugLevel, "task ended")
	TaskUnknown            = define(162, zerolog.WarnLevel, "task outcome unknown")
	TaskPreempted          = define(163, zerolog.InfoLevel, "task preempted for another team's share")
	TaskThrottled          = define(164, zerolog.InfoLevel, "task throttled to what it declared")
	TaskEvicted            = define(165, zerolog.WarnLevel, "task stopped because its worker ran out of memory")
	WorkerUnreachable      = define(170, zerolog.WarnLevel, "worker does not answer")
	WorkerReachable        = define(171, zerolog.InfoLevel, "worker answers again")
	WorkerQuarantined      = define(172, zerolog.WarnLevel, "worker quarantined")
	WorkerReleased         = define(173, zerolog.InfoLevel, "worker released from quarantine")
	MinionResponding       = define(174, zerolog.InfoLevel, "minion heard after its set changed owner")
	RequestDone            = define(180, zerolog.DebugLevel, "request done")
	RequestNotRun          = define(181, zerolog.InfoLevel, "request not run")
	RequestUnknown         = define(182, zerolog.WarnLevel, "request outcome unknown")
	CellClaimed            = define(1100, zerolog.InfoLevel, "cell claimed")
	CellRestored           = define(1101, zerolog.InfoLevel, "cell restored from the store")
	CellReleased           = define(1102, zerolog.InfoLevel, "cell released")
	CellFenced             = define(1103, zerolog.WarnLevel, "a worker has seen a higher fence")
	CellOwnershipLost      = define(1104, zerolog.WarnLevel, "ownership of the cell lost")
	OwnerObserved          = define(1105, zerolog.InfoLevel, "owner of the cell seen")
	OwnerSuspected         = define(1106, zerolog.WarnLevel, "owner of the cell does not answer")
	ClaimFailed            = define(1107, zerolog.InfoLevel, "claim of the cell failed")
	CellJobAccepted        = define(1110, zerolog.InfoLevel, "job taken in")
	CellJobCancelled       = define(1111, zerolog.InfoLevel, "job cancelled")
	CellJobEnded           = define(1112, zerolog.InfoLevel, "job is over")
	CellJobAbandoned       = define(1113, zerolog.WarnLevel, "job given up after failed runs")
	CellRecordFailed       = define(1114, zerolog.ErrorLevel, "progress of a job cannot be encoded")
	CellRecordRefused      = define(1115, zerolog.WarnLevel, "progress of jobs not written")
	CellStart              = define(1120, zerolog.InfoLevel, "run ordered")
	CellStartRefused       = define(1121, zerolog.InfoLevel, "run refused by its worker")
	CellStartUnknown       = define(1122, zerolog.WarnLevel, "order of a run not answered")
	CellStop               = define(1123, zerolog.InfoLevel, "stop of a run ordered")
	CellStopFailed         = define(1124, zerolog.WarnLevel, "stop of a run not answered")
	CellEnd                = define(1125, zerolog.InfoLevel, "end of a run listed")
	CellRunLost            = define(1126, zerolog.WarnLevel, "run lost")
	CellAdvice             = define(1130, zerolog.DebugLevel, "workers of a step advised")
	CellAdviceFailed       = define(1131, zerolog.WarnLevel, "advice on a step not given")
	CellThrottle           = define(1132, zerolog.InfoLevel, "pace of a filling task changed")
	CellThrottleFailed     = define(1133, zerolog.WarnLevel, "pace of a filling task not changed")
	CellStraggler          = define(1134, zerolog.InfoLevel, "run is slower than it should be")
	CellWorkerListed       = define(1140, zerolog.InfoLevel, "worker listed")
	CellWorkerGone         = define(1141, zerolog.InfoLevel, "worker left the list")
	CellWorkerRestarted    = define(1142, zerolog.WarnLevel, "worker began a new life")
	CellWorkerUnresponsive = define(1143, zerolog.WarnLevel, "worker does not answer holds")
	CellWorkerResponding   = define(1144, zerolog.InfoLevel, "worker answers holds again")
	CellWorkerReplaced     = define(1147, zerolog.WarnLevel, "another worker is at a worker's address")
	CarriersChosen         = define(1145, zerolog.InfoLevel, "hosts that call the workers chosen")
	CarrierLost            = define(1146, zerolog.WarnLevel, "host that calls workers lost")
	JobStored              = define(1150, zerolog.InfoLevel, "job stored")
	JobNotAccepted         = define(1151, zerolog.InfoLevel, "job not accepted")
	JobUnknown             = define(1152, zerolog.WarnLevel, "acceptance of a job unknown")
	CallRefused            = define(1153, zerolog.InfoLevel, "call refused")
	CancelStored           = define(1154, zerolog.InfoLevel, "cancellation stored")
	CancelFailed           = define(1155, zerolog.WarnLevel, "cancellation not stored")
	StateUnknown           = define(1156, zerolog.WarnLevel, "state of a job not found out")
	StoreDirectDown        = define(1160, zerolog.WarnLevel, "store turns this host away")
	StoreDirectUp          = define(1161, zerolog.InfoLevel, "store serves this host again")
	TablesStale            = define(1162, zerolog.WarnLevel, "configuration cannot be read")
	TablesFresh            = define(1163, zerolog.InfoLevel, "configuration is read again")
	EntryMalformed         = define(1164, zerolog.WarnLevel, "entry of the store cannot be read")
	LogLinesDropped        = define(1165, zerolog.WarnLevel, "log lines dropped")
	OwnerNotNotified       = define(1166, zerolog.WarnLevel, "owner not told of a change")
	InvariantBroken        = define(190, zerolog.ErrorLevel, "invariant broken")
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

// timeFormat shows milliseconds: the story of a job is told from the lines of
// several hosts, in order.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() { zerolog.TimeFieldFormat = timeFormat }

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
