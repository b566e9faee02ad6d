package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"turmericspread.org/turmericspread/internal/config"
	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/invariant"
	"turmericspread.org/turmericspread/internal/peer"
	"turmericspread.org/turmericspread/internal/shard"
	"turmericspread.org/turmericspread/internal/slot"
)

const (
	// maxAttempts bounds the tries of one request.
	maxAttempts = 4
	// attemptInterval is the time between two tries while no set takes the request.
	attemptInterval = 20 * time.Millisecond
)

// forward sends a request to a minion of the pool's service and waits for the
// whole answer. Work that may run only once is tried again only while nothing
// of it was written to a minion.
func (e *Entry) forward(ctx context.Context, pool config.Pool, req slot.Request) (answer *slot.Response) {
	tried := map[shard.ID]bool{}
	unknown := false
	answer = &slot.Response{ID: req.ID, Outcome: slot.OutcomeNotRun, Reason: "no minion of the service is in reach"}
	for attempt := 0; attempt < maxAttempts && ctx.Err() == nil; attempt++ {
		id := e.chooseSet(ctx, pool, tried)
		if id == "" {
			clear(tried)
			sleep(ctx, attemptInterval)
			continue
		}
		tried[id] = true
		req.Shard = id
		answer = e.sendOnce(ctx, req)
		if answer.Outcome == slot.OutcomeUnknown {
			unknown = true
		}
		if answer.Outcome == slot.OutcomeDone || unknown && !pool.Idempotent {
			break
		}
	}
	if unknown && answer.Outcome == slot.OutcomeNotRun {
		answer.Outcome = slot.OutcomeUnknown
	}
	e.logOutcome(req, answer)
	return answer
}

func (e *Entry) logOutcome(req slot.Request, answer *slot.Response) {
	kind := event.RequestDone
	switch answer.Outcome {
	case slot.OutcomeNotRun:
		kind = event.RequestNotRun
	case slot.OutcomeUnknown:
		kind = event.RequestUnknown
	}
	kind.Log(e.Log).Str("request", req.ID).Str("route", req.Route).Str("team", req.Team).
		Str("minion", answer.Minion).Str("reason", answer.Reason).Send()
}

// chooseSet picks the set of minions with the least load for its slots.
func (e *Entry) chooseSet(ctx context.Context, pool config.Pool, tried map[shard.ID]bool) (best shard.ID) {
	_ = e.loop.Call(ctx, func() {
		bestLoad := 0.0
		for _, summary := range e.setSummaries(pool.Service, time.Now()) {
			if tried[summary.Shard] || summary.Slots == 0 || !pool.AllowsPlace(summary.Place) {
				continue
			}
			// What this process has under way may not show in the summary yet.
			busy := max(summary.Busy, e.outbound[summary.Shard]) + summary.Queued
			load := float64(busy)/float64(summary.Slots) + rand.Float64()*loadJitter
			if summary.Place != e.info.Place {
				load += remotePenalty
			}
			if best == "" || load < bestLoad {
				best, bestLoad = summary.Shard, load
			}
		}
		if best != "" {
			e.outbound[best]++
		}
	})
	return best
}

const (
	// loadJitter keeps processes with the same view from choosing the same set.
	loadJitter = 0.05
	// remotePenalty is the load at which a minion in another place is preferred.
	remotePenalty = 0.25
)

func (e *Entry) sendOnce(ctx context.Context, req slot.Request) (answer *slot.Response) {
	defer e.loop.Post(func() {
		e.outbound[req.Shard]--
		if e.outbound[req.Shard] == 0 {
			delete(e.outbound, req.Shard)
		}
	})
	var owner shard.Instance
	var address string
	err := e.loop.Call(ctx, func() { owner, address = e.ownerAddress(req.Shard) })
	if err != nil || owner == "" {
		return &slot.Response{ID: req.ID, Outcome: slot.OutcomeNotRun, Reason: "the minions have no live owner"}
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.TimeoutMS = max(1, time.Until(deadline).Milliseconds())
	}
	if owner == e.info.Instance {
		answer, err = e.handleServe(ctx, &req)
	} else {
		answer, err = peer.Call[slot.Request, slot.Response](ctx, e.peers, address, callServe, &req)
	}
	switch {
	case err != nil && peer.ErrUnreachable.Has(err):
		return &slot.Response{ID: req.ID, Outcome: slot.OutcomeNotRun, Reason: "the owner of the minions is not in reach"}
	case err != nil:
		return &slot.Response{ID: req.ID, Outcome: slot.OutcomeUnknown, Reason: "the owner of the minions did not answer"}
	}
	matches := answer.ID == req.ID
	e.checks.Check(invariant.OwnAnswer, matches, "request", req.ID, "answer", answer.ID)
	if !matches {
		return &slot.Response{ID: req.ID, Outcome: slot.OutcomeUnknown, Reason: "the owner answered another request"}
	}
	return answer
}
