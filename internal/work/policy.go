package work

import (
	"time"

	"turmericspread.org/turmericspread/internal/resource"
)

// Policy holds the settings that govern an accepted job: those of its queue, and the
// maximum of its team. They are stored with the job, because the operators may remove the
// queue or the team from the tables while the job is open.
type Policy struct {
	Service  string          `cbor:"1,keyasint,omitempty"`
	Priority int             `cbor:"2,keyasint,omitempty"`
	Attempts int             `cbor:"3,keyasint,omitempty"`
	Stretch  float64         `cbor:"4,keyasint,omitempty"`
	Target   time.Duration   `cbor:"5,keyasint,omitempty"`
	Advice   *Advice         `cbor:"6,keyasint,omitempty"`
	Maximum  resource.Vector `cbor:"7,keyasint,omitempty"`
}

// Policy returns the policy for jobs that a team submits to a queue. It is nil if the
// tables do not have the queue. If they do not have the team, its maximum is taken from
// known, the last known policy, which may be nil.
func (t *Tables) Policy(queue, team string, known *Policy) *Policy {
	q := t.Queue(queue)
	if q == nil {
		return nil
	}
	p := &Policy{
		Service: q.Service, Priority: q.Priority, Attempts: q.Attempts, Stretch: q.Stretch, Target: q.Target, Advice: q.Advice,
	}
	if listed, ok := t.Teams[team]; ok {
		p.Maximum = listed.Maximum
	} else if known != nil {
		p.Maximum = known.Maximum
	}
	return p
}

// Equal reports whether both policies are the same. Either may be nil.
func (p *Policy) Equal(other *Policy) bool {
	if p == nil || other == nil {
		return p == other
	}
	a, b := *p, *other
	a.Advice, b.Advice = nil, nil
	return a == b && equalAdvice(p.Advice, other.Advice)
}

// equalAdvice reports whether both have the same costs. Either may be nil.
func equalAdvice(a, b *Advice) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}
