package host

import (
	"context"
	"sync"
	"time"

	"turmericspread.org/turmericspread/internal/peer"
	"turmericspread.org/turmericspread/internal/work"
)

// adviceBalancer distributes the queries to the placement adviser over the
// hosts. The adviser processes the queries of one host one after the other, so
// queries sent by a single host would wait for each other.
type adviceBalancer struct {
	mu            sync.Mutex
	pending       map[string]time.Duration // by address: expected processing time of the queries in flight
	cooldownUntil map[string]time.Time     // by address: end of the cooldown after a failed query
}

// adviserCooldown is the time during which a host is avoided after a query
// through it has failed.
const adviserCooldown = 2 * time.Second

// heavyQueryCost is the expected processing time from which a query counts as
// heavy.
const heavyQueryCost = 100 * time.Millisecond

// lightHostsDivisor defines the fraction of the hosts, 1/lightHostsDivisor,
// that is reserved for light queries. Behind heavy ones they would wait for
// seconds.
const lightHostsDivisor = 3

// eligibleHosts returns the hosts that may send a query of the given cost.
// Light queries use the first hosts, and heavy ones the rest.
func eligibleHosts(addresses []string, cost time.Duration) []string {
	light := (len(addresses) + lightHostsDivisor - 1) / lightHostsDivisor
	switch {
	case len(addresses) <= 1:
		return addresses
	case cost < heavyQueryCost:
		return addresses[:light]
	}
	return addresses[light:]
}

// nextHostPenalty is added to a host's load for each host before it in the
// list, so that a host prefers to query the adviser directly and light queries
// use few connections.
const nextHostPenalty = time.Millisecond

// acquire returns the host with the lowest load and adds cost to its load. A
// host in its cooldown is chosen only if all hosts are.
func (a *adviceBalancer) acquire(addresses []string, cost time.Duration) (best string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var minLoad time.Duration
	bestReady := false
	now := time.Now()
	for i, address := range addresses {
		load := a.pending[address] + time.Duration(i)*nextHostPenalty
		ready := !now.Before(a.cooldownUntil[address])
		if best == "" || ready && !bestReady || ready == bestReady && load < minLoad {
			best, minLoad, bestReady = address, load, ready
		}
	}
	a.pending[best] += cost
	return best
}

// release subtracts cost from the load of a host. If the query failed, it
// starts the host's cooldown.
func (a *adviceBalancer) release(address string, cost time.Duration, failed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if failed {
		a.cooldownUntil[address] = time.Now().Add(adviserCooldown)
	}
	if a.pending[address] -= cost; a.pending[address] <= 0 {
		delete(a.pending, address)
	}
}

// queryAdviser sends a query to the placement adviser, through the eligible
// host with the lowest load.
func (h *Host) queryAdviser(ctx context.Context, addresses []string, request work.AdviceRequest, cost time.Duration) (response work.AdviceResponse, err error) {
	address := h.adviceBalancer.acquire(eligibleHosts(addresses, cost), cost)
	defer func() { h.adviceBalancer.release(address, cost, err != nil) }()
	if address == h.PeerAddress {
		return h.Targets.Advise(ctx, request)
	}
	reply, err := peer.Call[work.AdviceRequest, work.AdviceResponse](ctx, h.peers, address, callAdvise, &request)
	if err != nil {
		return response, err
	}
	return *reply, nil
}

// adviserHosts returns the addresses of the hosts that may query the adviser:
// this one and those with a recent heartbeat. Other rows in the store are
// ignored because the row of a removed host is never deleted.
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
