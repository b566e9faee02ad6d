// Package halfopen keeps calls off pooled connections that have gone silent. Such a connection
// is still open on this side, is never reset, and carries nothing any more, while new
// connections to the same peer work.
//
// One call without an answer does not tell a silent connection from a peer that is slow or
// suspended. So each peer has two pools of connections, one of which is current:
//
//   - After a call without an answer the other pool is current, which has no connection yet.
//     The next call opens one.
//   - If a call on the current pool is then answered, the idle connections of the former pool
//     are closed, and its busy ones as soon as they are idle.
//   - If it is not answered either, the former pool is current again with all its connections. So
//     a slow peer costs a new connection for at most every other call while it has idle ones.
//
// Connections to other peers are not affected. Peers has the state of the pools and does no input
// or output. Transport applies it to HTTP.
//
// # Usage
//
//	dialer := &net.Dialer{Timeout: dialTimeout}
//	client := &http.Client{Transport: halfopen.NewTransport(dialer.DialContext, func(dial halfopen.Dial) *http.Transport {
//		return &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 4}
//	})}
//
// A caller that cancels the context of a request because no answer arrived in time must do so
// with the cause context.DeadlineExceeded.
package halfopen

import (
	"context"
	"errors"
	"net"
	"sync"
)

// Pools is the number of pools of each peer. They are numbered from 0.
const Pools = 2

// maxPeers bounds the peers of which the state is kept, at some 100 bytes each. Cells have up to
// 3,800 workers.
const maxPeers = 8192

// Peers has the state of the pools of each peer, by address. The zero value is ready for use. It
// is safe for concurrent use.
type Peers struct {
	mu    sync.Mutex
	peers map[string]peer // those that have missed a call
}

// peer is the state of the pools of one peer.
type peer struct {
	current   int
	suspected bool // no call on the current pool was answered since it became current
}

// Current returns the pool from which the next call to the peer takes its connection.
func (p *Peers) Current(address string) (pool int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peers[address].current
}

// Missed records that a call on a connection of the pool got no answer in time. Further calls of
// the same pool that get none have no effect.
func (p *Peers) Missed(address string, pool int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers[address].current != pool {
		return
	}
	if p.peers == nil {
		p.peers = map[string]peer{}
	}
	if len(p.peers) >= maxPeers {
		// Idle connections of a pool that is no longer current end by their own timeout.
		clear(p.peers)
	}
	p.peers[address] = peer{current: (pool + 1) % Pools, suspected: true}
}

// Answered records that a call on a connection of the pool was answered. It reports whether this
// shows that the idle connections of the other pool must not be used any more.
func (p *Peers) Answered(address string, pool int) (silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state, ok := p.peers[address]
	if !ok || state.current != pool || !state.suspected {
		return false
	}
	state.suspected = false
	p.peers[address] = state
	return true
}

// Superseded reports whether a connection of the pool that has become idle must be closed,
// because calls on the other pool were answered since.
func (p *Peers) Superseded(address string, pool int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	state, ok := p.peers[address]
	return ok && state.current != pool && !state.suspected
}

// Unanswered reports whether a call that failed with err got no answer in time. A call that its
// caller has given up for another reason does not count.
func Unanswered(ctx context.Context, err error) bool {
	if err == nil {
		return false
	}
	var timeout net.Error
	return errors.Is(context.Cause(ctx), context.DeadlineExceeded) || ctx.Err() == nil && errors.As(err, &timeout) && timeout.Timeout()
}
