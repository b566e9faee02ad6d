package host

import (
	"context"
	"sync"
	"time"

	"turmericspread.org/turmericspread/internal/peer"
	"turmericspread.org/turmericspread/internal/work"
)

// adviser spreads the questions to the placement adviser over the hosts: it
// answers each host's questions in turn, so one host alone would wait.
type adviser struct {
	mu   sync.Mutex
	busy map[string]time.Duration // by address: expected time of what is under way
	rest map[string]time.Time     // by address: until when not to ask it after a failure
}

// adviserRest is how long a host through which a question failed is left out.
const adviserRest = 2 * time.Second

// heavyAdvice is the cost from which a question counts as heavy.
const heavyAdvice = 100 * time.Millisecond

// lightShare is one part of how many hosts is kept for light questions: they
// would wait for seconds behind heavy ones.
const lightShare = 3

// lane returns the hosts that may ask a question of the given cost. All but
// the heaviest keep to the first hosts, where no heavy one is ever asked.
func lane(addresses []string, cost time.Duration) []string {
	light := (len(addresses) + lightShare - 1) / lightShare
	switch {
	case len(addresses) <= 1:
		return addresses
	case cost < heavyAdvice:
		return addresses[:light]
	}
	return addresses[light:]
}

// relayCost is the weight of each next host, so that a host asks itself first
// and light questions stay with few connections.
const relayCost = time.Millisecond

// take picks the host with the least to ask for. One through which a question
// failed lately is picked only if all have failed.
func (a *adviser) take(addresses []string, cost time.Duration) (best string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var least time.Duration
	rested := false
	now := time.Now()
	for i, address := range addresses {
		load := a.busy[address] + time.Duration(i)*relayCost
		ready := !now.Before(a.rest[address])
		if best == "" || ready && !rested || ready == rested && load < least {
			best, least, rested = address, load, ready
		}
	}
	a.busy[best] += cost
	return best
}

func (a *adviser) give(address string, cost time.Duration, failed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if failed {
		a.rest[address] = time.Now().Add(adviserRest)
	}
	if a.busy[address] -= cost; a.busy[address] <= 0 {
		delete(a.busy, address)
	}
}

// advise asks the adviser, from the host whose turn comes first.
func (h *Host) advise(ctx context.Context, addresses []string, order work.AdviceRequest, cost time.Duration) (report work.AdviceResponse, err error) {
	address := h.adviser.take(lane(addresses, cost), cost)
	defer func() { h.adviser.give(address, cost, err != nil) }()
	if address == h.PeerAddress {
		return h.Targets.Advise(ctx, order)
	}
	reply, err := peer.Call[work.AdviceRequest, work.AdviceResponse](ctx, h.peers, address, callAdvise, &order)
	if err != nil {
		return report, err
	}
	return *reply, nil
}

// adviserHosts lists the hosts that may ask the adviser: this one and those
// heard lately. A host that was removed for good stays in the store's rows.
func (h *Host) adviserHosts() (addresses []string) {
	alive := h.aliveAddresses()
	addresses = append(addresses, h.PeerAddress)
	for _, m := range h.view.Load().members {
		if m.Address != h.PeerAddress && alive[m.Address] {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}
