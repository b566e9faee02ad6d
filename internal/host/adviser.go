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
const lightHostsDivisor = 6

// eligibleHosts returns the hosts that may send a query of the given cost.
// Heavy queries use the hosts that are not reserved for light ones.
func eligibleHosts(addresses []string, cost time.Duration) []string {
	if len(addresses) <= 1 || cost < heavyQueryCost {
		return addresses
	}
	return addresses[(len(addresses)+lightHostsDivisor-1)/lightHostsDivisor:]
}

// maxLightPending is the expected processing time of the queries in flight from
// which a host is busy for light queries. The owner sends waiting queries in the
// order of their rank, whereas the adviser processes them in the order of arrival.
const maxLightPending = 50 * time.Millisecond

// hasFree reports whether one of the hosts would send a query of the given cost
// soon. A host sends one heavy query at a time, and no light query behind it.
func (a *adviceBalancer) hasFree(addresses []string, cost time.Duration) bool {
	maxPending := maxLightPending
	if cost >= heavyQueryCost {
		maxPending = heavyQueryCost
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pending[a.leastLoaded(addresses)] < maxPending
}

// nextHostPenalty is added to a host's load for each host before it in the
// list, so that a host prefers to query the adviser directly and light queries
// use few connections.
const nextHostPenalty = time.Millisecond

// leastLoaded returns the host with the lowest load. A host in its cooldown is
// chosen only if all hosts are. The caller holds the lock.
func (a *adviceBalancer) leastLoaded(addresses []string) (best string) {
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
	return best
}

// acquire returns the host with the lowest load and adds cost to its load.
func (a *adviceBalancer) acquire(addresses []string, cost time.Duration) (address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	address = a.leastLoaded(addresses)
	a.pending[address] += cost
	return address
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

// queryAdviser sends a query to the placement adviser through the given host,
// which was acquired for it.
func (h *Host) queryAdviser(ctx context.Context, address string, request work.AdviceRequest, cost time.Duration) (response work.AdviceResponse, err error) {
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
