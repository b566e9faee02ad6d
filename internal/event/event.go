// Package event defines the numbered log events of the project and the loggers
// that write them. docs/EVENTS.md lists the events; a test compares that page
// with the table below.
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

// Event describes one kind of log line: its number, level and message.
type Event struct {
	Number  int
	Level   zerolog.Level
	Message string
}

// The events. The number of a removed event is never reused for another one.
var (
	Started                = define(100, zerolog.InfoLevel, "entry process started")
	Stopping               = define(101, zerolog.InfoLevel, "graceful shutdown started")
	Stopped                = define(102, zerolog.InfoLevel, "entry process stopped")
	StopForced             = define(103, zerolog.WarnLevel, "graceful shutdown cut short")
	Reloaded               = define(104, zerolog.InfoLevel, "settings reloaded")
	ReloadRefused          = define(105, zerolog.WarnLevel, "settings reload failed")
	StoreDown              = define(110, zerolog.WarnLevel, "store unavailable")
	StoreUp                = define(111, zerolog.InfoLevel, "store available again")
	HostListDown           = define(112, zerolog.WarnLevel, "host list unavailable")
	MemberJoined           = define(120, zerolog.InfoLevel, "entry process joined")
	MemberUnresponsive     = define(121, zerolog.WarnLevel, "entry process unresponsive")
	MemberGone             = define(122, zerolog.InfoLevel, "entry process confirmed terminated")
	ShardWaiting           = define(130, zerolog.InfoLevel, "shard claimed, waiting for the previous owner")
	ShardOwned             = define(131, zerolog.InfoLevel, "shard owned")
	ShardReleased          = define(132, zerolog.InfoLevel, "shard released")
	LeaseExpired           = define(133, zerolog.WarnLevel, "lease expired, no new work is started")
	LeaseRestored          = define(134, zerolog.InfoLevel, "lease restored, new work is started again")
	TableWrite             = define(135, zerolog.DebugLevel, "writing the shard assignment table")
	ConfigApplied          = define(140, zerolog.InfoLevel, "configuration applied")
	ConfigRefused          = define(141, zerolog.WarnLevel, "configuration rejected")
	ConfigAccepted         = define(142, zerolog.InfoLevel, "configuration accepted")
	JobAccepted            = define(150, zerolog.InfoLevel, "job accepted")
	JobEnded               = define(151, zerolog.InfoLevel, "job ended")
	JobRefused             = define(152, zerolog.InfoLevel, "job refused")
	TaskStarted            = define(160, zerolog.DebugLevel, "task started")
	TaskEnded              = define(161, zerolog.DebugLevel, "task ended")
	TaskUnknown            = define(162, zerolog.WarnLevel, "task outcome unknown")
	TaskPreempted          = define(163, zerolog.InfoLevel, "task preempted for another team's share")
	TaskThrottled          = define(164, zerolog.InfoLevel, "task throttled to its declared resources")
	TaskEvicted            = define(165, zerolog.WarnLevel, "task evicted because its worker ran out of memory")
	WorkerUnreachable      = define(170, zerolog.WarnLevel, "worker unreachable")
	WorkerReachable        = define(171, zerolog.InfoLevel, "worker reachable again")
	WorkerQuarantined      = define(172, zerolog.WarnLevel, "worker quarantined")
	WorkerReleased         = define(173, zerolog.InfoLevel, "worker released from quarantine")
	MinionResponding       = define(174, zerolog.InfoLevel, "minion responding after a change of owner")
	RequestDone            = define(180, zerolog.DebugLevel, "request completed")
	RequestNotRun          = define(181, zerolog.InfoLevel, "request not run")
	RequestUnknown         = define(182, zerolog.WarnLevel, "request outcome unknown")
	CellClaimed            = define(1100, zerolog.InfoLevel, "cell claimed")
	CellRestored           = define(1101, zerolog.InfoLevel, "cell restored from the store")
	CellReleased           = define(1102, zerolog.InfoLevel, "cell released")
	CellFenced             = define(1103, zerolog.WarnLevel, "worker reported a higher fencing token")
	CellOwnershipLost      = define(1104, zerolog.WarnLevel, "ownership of the cell lost")
	OwnerObserved          = define(1105, zerolog.InfoLevel, "cell owner observed")
	OwnerSuspected         = define(1106, zerolog.WarnLevel, "cell owner unresponsive")
	ClaimFailed            = define(1107, zerolog.InfoLevel, "cell claim failed")
	CellJobAccepted        = define(1110, zerolog.InfoLevel, "job accepted by the cell owner")
	CellJobCancelled       = define(1111, zerolog.InfoLevel, "job cancelled")
	CellJobEnded           = define(1112, zerolog.InfoLevel, "job finished")
	CellJobAbandoned       = define(1113, zerolog.WarnLevel, "job failed permanently after repeated failed runs")
	CellRecordFailed       = define(1114, zerolog.ErrorLevel, "progress record of a job cannot be encoded")
	CellRecordRefused      = define(1115, zerolog.WarnLevel, "progress records of jobs not written")
	CellStepWaits          = define(1116, zerolog.InfoLevel, "step waits")
	CellJobDelayed         = define(1117, zerolog.InfoLevel, "job put last in its priority")
	CellStart              = define(1120, zerolog.InfoLevel, "run start requested")
	CellStartRefused       = define(1121, zerolog.InfoLevel, "run start rejected by the worker")
	CellStartUnknown       = define(1122, zerolog.WarnLevel, "run start not answered, outcome unknown")
	CellStop               = define(1123, zerolog.InfoLevel, "run stop requested")
	CellStopFailed         = define(1124, zerolog.WarnLevel, "run stop not answered")
	CellEnd                = define(1125, zerolog.InfoLevel, "end of a run reported by the worker")
	CellRunLost            = define(1126, zerolog.WarnLevel, "run lost")
	CellAdvice             = define(1130, zerolog.DebugLevel, "placement advice received")
	CellAdviceFailed       = define(1131, zerolog.WarnLevel, "placement query failed")
	CellThrottle           = define(1132, zerolog.InfoLevel, "throttle of a best-effort task changed")
	CellThrottleFailed     = define(1133, zerolog.WarnLevel, "throttle of a best-effort task not changed")
	CellStraggler          = define(1134, zerolog.InfoLevel, "run slower than expected")
	CellSpeedLearned       = define(1135, zerolog.InfoLevel, "speed of a kind of worker learned")
	CellSpeedsRestored     = define(1136, zerolog.InfoLevel, "learned speeds restored from the store")
	CellSpeedsUnusable     = define(1137, zerolog.WarnLevel, "learned speeds cannot be stored or restored")
	CellSecondRun          = define(1138, zerolog.InfoLevel, "second run on a faster worker planned")
	CellWorkerListed       = define(1140, zerolog.InfoLevel, "worker added to the worker list")
	CellWorkerGone         = define(1141, zerolog.InfoLevel, "worker removed from the worker list")
	CellWorkerRestarted    = define(1142, zerolog.WarnLevel, "worker restarted")
	CellWorkerUnresponsive = define(1143, zerolog.WarnLevel, "worker does not answer lease renewals")
	CellWorkerResponding   = define(1144, zerolog.InfoLevel, "worker answers lease renewals again")
	CellWorkerReplaced     = define(1147, zerolog.WarnLevel, "another worker answers at this worker's address")
	CarriersChosen         = define(1145, zerolog.InfoLevel, "carrier hosts selected")
	CarrierLost            = define(1146, zerolog.WarnLevel, "carrier host lost")
	JobStored              = define(1150, zerolog.InfoLevel, "job stored")
	JobNotAccepted         = define(1151, zerolog.InfoLevel, "job not accepted")
	JobUseless             = define(1157, zerolog.InfoLevel, "job rejected because it would be of no use")
	JobNoRoom              = define(1159, zerolog.InfoLevel, "job rejected because the cell has no memory for it")
	JobUnknown             = define(1152, zerolog.WarnLevel, "outcome of a job submission unknown")
	CallRefused            = define(1153, zerolog.InfoLevel, "call refused")
	CancelStored           = define(1154, zerolog.InfoLevel, "cancellation stored")
	CancelFailed           = define(1155, zerolog.WarnLevel, "cancellation not stored")
	JobTombstoned          = define(1168, zerolog.InfoLevel, "cancellation stored of a job that is not stored")
	TombstonesRemoved      = define(1169, zerolog.InfoLevel, "cancellations of jobs that were not stored removed")
	StateUnknown           = define(1156, zerolog.WarnLevel, "state of a job could not be determined")
	ConnectionsClosed      = define(1158, zerolog.WarnLevel, "connections closed or refused")
	StoreDirectDown        = define(1160, zerolog.WarnLevel, "direct access to the store lost")
	StoreDirectUp          = define(1161, zerolog.InfoLevel, "direct access to the store restored")
	TablesStale            = define(1162, zerolog.WarnLevel, "configuration cannot be read")
	TablesFresh            = define(1163, zerolog.InfoLevel, "configuration can be read again")
	EntryMalformed         = define(1164, zerolog.WarnLevel, "store entry cannot be decoded")
	LogLinesDropped        = define(1165, zerolog.WarnLevel, "log lines dropped")
	OwnerNotNotified       = define(1166, zerolog.WarnLevel, "owner not notified of a change")
	CellEstablished        = define(1167, zerolog.InfoLevel, "former owner fenced")
	EvacuationRequested    = define(1170, zerolog.InfoLevel, "evacuation of a data centre requested")
	EvacuationEnded        = define(1171, zerolog.InfoLevel, "evacuation of a data centre ended")
	CallsHeld              = define(1174, zerolog.WarnLevel, "calls held until the store responds")
	CallsReleased          = define(1175, zerolog.InfoLevel, "no call is held any more")
	CallsTurnedAway        = define(1176, zerolog.WarnLevel, "held calls turned away")
	ConnectionsSilent      = define(1177, zerolog.WarnLevel, "idle connections closed, others to the same peer had gone silent")
	WaveOpened             = define(1180, zerolog.InfoLevel, "upkeep of machines requested")
	WaveCompleted          = define(1181, zerolog.InfoLevel, "upkeep of the requested machines has begun")
	WaveWithdrawn          = define(1182, zerolog.InfoLevel, "request for the upkeep of machines withdrawn")
	UpkeepOrdered          = define(1183, zerolog.InfoLevel, "upkeep of a machine ordered")
	UpkeepBegun            = define(1184, zerolog.InfoLevel, "upkeep of a machine has begun")
	UpkeepNotBegun         = define(1185, zerolog.WarnLevel, "upkeep of a machine refused or not answered")
	UpkeepEnded            = define(1186, zerolog.InfoLevel, "machine back after its upkeep")
	WavePressed            = define(1187, zerolog.WarnLevel, "machines have their upkeep before they are empty")
	MachinesUnread         = define(1188, zerolog.WarnLevel, "list of machines cannot be read")
	InvariantBroken        = define(190, zerolog.ErrorLevel, "invariant violated")
)

var all []Event

// define returns a new event and adds it to the list that All returns.
func define(number int, level zerolog.Level, message string) Event {
	e := Event{number, level, message}
	all = append(all, e)
	return e
}

// All returns all events in the order in which they are defined.
func All() []Event { return all }

// Log starts a log line for the event; the caller adds fields and sends it.
func (e Event) Log(log zerolog.Logger) *zerolog.Event {
	return log.WithLevel(e.Level).Int("event", e.Number).Str("message", e.Message)
}

// timeFormat includes milliseconds, so that the lines of several hosts about one
// job can be merged in order.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() { zerolog.TimeFieldFormat = timeFormat }

// NewLogger returns a logger that writes lines from the given level on to w. The
// format is json or text. An unknown level counts as info.
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
