package cell

import (
	"time"

	"github.com/rs/zerolog"
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
	if s.waitReason == reason {
		return
	}
	if s.waitReason != ReasonNone {
		d := now - s.waitSince
		s.job.waitTimes[s.waitReason] += d
		o.OnStepWaited(s.job.spec.Queue, s.waitReason, d)
	}
	s.waitReason, s.waitSince = reason, now
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
