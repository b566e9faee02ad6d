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
	// maxAttempts bounds the attempts for one request.
	maxAttempts = 4
	// attemptInterval is the interval between two attempts while no set of minions
	// accepts the request.
	attemptInterval = 20 * time.Millisecond
)

// forward sends a request to a minion of the pool's service and waits for the
// complete response. A request to a pool that is not idempotent is sent again
// only if no minion can have received any of it.
func (e *Entry) forward(ctx context.Context, pool config.Pool, req slot.Request) (response *slot.Response) {
	tried := map[shard.ID]bool{}
	unknown := false
	response = &slot.Response{ID: req.ID, Outcome: slot.OutcomeNotRun, Reason: "no minion of the service is in reach"}
	for attempt := 0; attempt < maxAttempts && ctx.Err() == nil; attempt++ {
		id := e.chooseSet(ctx, pool, tried)
		if id == "" {
			clear(tried)
			sleep(ctx, attemptInterval)
			continue
		}
		tried[id] = true
		req.Shard = id
		response = e.sendOnce(ctx, req)
		if response.Outcome == slot.OutcomeUnknown {
			unknown = true
		}
		if response.Outcome == slot.OutcomeDone || unknown && !pool.Idempotent {
			break
		}
	}
	if unknown && response.Outcome == slot.OutcomeNotRun {
		response.Outcome = slot.OutcomeUnknown
	}
	e.logOutcome(req, response)
	return response
}

// logOutcome logs the outcome of a request.
func (e *Entry) logOutcome(req slot.Request, response *slot.Response) {
	kind := event.RequestDone
	switch response.Outcome {
	case slot.OutcomeNotRun:
		kind = event.RequestNotRun
	case slot.OutcomeUnknown:
		kind = event.RequestUnknown
	}
	kind.Log(e.Log).Str("request", req.ID).Str("route", req.Route).Str("team", req.Team).
		Str("minion", response.Minion).Str("reason", response.Reason).Send()
}

// chooseSet selects the set of minions with the lowest load per slot that has
// not been tried, and counts the request as in flight to it.
func (e *Entry) chooseSet(ctx context.Context, pool config.Pool, tried map[shard.ID]bool) (best shard.ID) {
	_ = e.loop.Call(ctx, func() {
		bestLoad := 0.0
		for _, summary := range e.setSummaries(pool.Service, time.Now()) {
			if tried[summary.Shard] || summary.Slots == 0 || !pool.AllowsPlace(summary.Place) {
				continue
			}
			// Requests that this process has in flight may not be in the
			// summary yet.
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
	// loadJitter is added to the load at random, so that processes with the
	// same view of the cell do not all select the same set.
	loadJitter = 0.05
	// remotePenalty is the load by which a minion in this data centre may
	// exceed one in another and still be preferred.
	remotePenalty = 0.25
)

// sendOnce makes one attempt to send a request to the set of minions that it names.
func (e *Entry) sendOnce(ctx context.Context, req slot.Request) (response *slot.Response) {
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
		response, err = e.handleServe(ctx, &req)
	} else {
		response, err = peer.Call[slot.Request, slot.Response](ctx, e.peers, address, callServe, &req)
	}
	switch {
	case err != nil && peer.ErrUnreachable.Has(err):
		return &slot.Response{ID: req.ID, Outcome: slot.OutcomeNotRun, Reason: "the owner of the minions is not in reach"}
	case err != nil:
		return &slot.Response{ID: req.ID, Outcome: slot.OutcomeUnknown, Reason: "the owner of the minions did not answer"}
	}
	matches := response.ID == req.ID
	e.checks.Check(invariant.OwnAnswer, matches, "request", req.ID, "answer", response.ID)
	if !matches {
		return &slot.Response{ID: req.ID, Outcome: slot.OutcomeUnknown, Reason: "the owner answered another request"}
	}
	return response
}
