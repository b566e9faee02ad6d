package cell

import (
	"time"

	"github.com/rs/zerolog"
)

// WaitReason is why a step waits although it could run.
type WaitReason int

// The reasons, from the first that a step meets to the last.
const (
	ReasonNone      WaitReason = iota
	ReasonTakeover             // a former owner may have started it
	ReasonRetry                // its tasks failed, or were refused, a moment ago
	ReasonLimit                // the team may not run more
	ReasonReserve              // room is kept for more urgent work
	ReasonCapacity             // no worker that may run it has room
	ReasonAdviser              // the adviser has other questions to answer first
	ReasonAdvice               // the adviser was asked which workers may run it
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

// waitTimes sums how long the steps of a job waited, by reason.
type waitTimes [numberOfReasons]time.Duration

// MarshalZerologObject writes the reasons that a step waited for, in milliseconds.
func (w *waitTimes) MarshalZerologObject(e *zerolog.Event) {
	for i, d := range w {
		if d >= time.Millisecond {
			e.Dur(WaitReason(i).String(), d)
		}
	}
}

// setWaitReason notes that the step waits for another reason from now on.
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

// reasonOnceAssigned returns the reason of a step all of whose tasks have been given room.
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
