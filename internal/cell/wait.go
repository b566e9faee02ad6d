package cell

import (
	"time"

	"github.com/rs/zerolog"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/work"
)

// WaitReason is why a step waits although it could run.
type WaitReason int

// The reasons, in the order in which they are checked.
const (
	ReasonNone      WaitReason = iota
	ReasonTakeover             // a former owner may have started it
	ReasonRetry                // its tasks failed or were refused recently
	ReasonLimit                // the team's maximum is reached
	ReasonReserve              // capacity is reserved for more urgent work
	ReasonCapacity             // no eligible worker has free capacity
	ReasonAdviser              // too many placement queries are in flight, or the last one failed
	ReasonAdvice               // a placement query is in flight
	ReasonRecord               // the decision to start it is being recorded
	numberOfReasons = int(ReasonRecord) + 1
)

// String returns the name of the reason in logs and metrics.
func (r WaitReason) String() string {
	names := [numberOfReasons]string{
		"none", "takeover", "retry", "limit", "reserve", "room", "adviser", "advice", "record",
	}
	return names[r]
}

// waitTimes sums the waiting times of a job's steps by reason.
type waitTimes [numberOfReasons]time.Duration

// MarshalZerologObject writes the waiting times by reason, in milliseconds.
func (w *waitTimes) MarshalZerologObject(e *zerolog.Event) {
	for i, d := range w {
		if d >= time.Millisecond {
			e.Dur(WaitReason(i).String(), d)
		}
	}
}

// setWaitReason records that the step waits for another reason from now on.
func (o *Owner) setWaitReason(s *step, reason WaitReason, now time.Duration) {
	if s.waitReason != reason {
		if s.waitReason == ReasonNone {
			s.waitLoggedAt = now
		} else {
			d := now - s.waitSince
			s.job.waitTimes[s.waitReason] += d
			o.OnStepWaited(s.job.spec.Queue, s.waitReason, d)
		}
		s.waitReason, s.waitSince, s.waitLogged = reason, now, false
	}
	o.logWait(s, now)
}

const (
	// waitLogInterval is the minimum interval between two log lines on the waiting of one
	// step, and the time that it waits before the first one.
	waitLogInterval = time.Second
	// maxWaitLogs bounds these lines of all steps in one waitLogInterval.
	maxWaitLogs = 50
)

// logWait logs why a step waits, once for each reason.
func (o *Owner) logWait(s *step, now time.Duration) {
	if s.waitReason == ReasonNone || s.waitLogged || now-s.waitLoggedAt < waitLogInterval {
		return
	}
	if now-o.waitLogsSince >= waitLogInterval {
		o.waitLogsSince, o.waitLogs = now, 0
	}
	if o.waitLogs++; o.waitLogs > maxWaitLogs {
		return
	}
	s.waitLogged, s.waitLoggedAt = true, now
	event.CellStepWaits.Log(o.Log).Str("step", s.name()).Str("queue", s.job.spec.Queue).Str("reason", s.waitReason.String()).
		Int("tasks", len(s.tasks)-s.tasksDone-s.tasksRunning).Dur("age", o.WallClock()-s.runnableSince()).
		Int("known", len(s.advice.allowed)).Int("allowed", len(s.advice.ticketedWorkers)).Int("reserved", len(s.reservations)).
		Bool("late", s.rank.Late).Bool("expired", s.rank.Expired).Bool("over-rate", s.rank.OverRate).Send()
}

// name returns the name of the step, such as "5c0e7a21d94b36f8.0.1".
func (s *step) name() string {
	return work.TaskRef{Job: s.job.spec.ID, Occurrence: s.occurrence, Step: s.number}.StepName()
}

// reasonOnceAssigned returns the reason of a step whose tasks have all been assigned:
// ReasonRecord until the starts are sent.
func (s *step) reasonOnceAssigned() WaitReason {
	for _, t := range s.tasks {
		for _, r := range t.runs {
			if r.state == runPlanned {
				return ReasonRecord
			}
		}
	}
	return ReasonNone
}
