package host

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericspread.org/turmericspread/internal/carrier"
	"turmericspread.org/turmericspread/internal/cell"
	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/peer"
	"turmericspread.org/turmericspread/internal/work"
)

const (
	// defaultDirectWorkers is the default for Host.DirectWorkers. With more
	// workers, the calls would take more than a third of a small host's
	// processor.
	defaultDirectWorkers = 120
	// workersPerCarrier is the number of workers served by one carrier, a host
	// that calls workers on behalf of the owner. They take about 300 connections
	// and a tenth of a small host's processor.
	workersPerCarrier = 90
)

const (
	// carriedBytes is what a request takes that a carrier executes: its goroutine and its
	// connection to the worker.
	carriedBytes = 32 << 10
	// carriedFraction is the part of the memory that the requests of all owners may take on a
	// carrier.
	carriedFraction = 16
	// defaultCarrierSlots is used if the memory is unknown, and minCarrierSlots on small hosts:
	// more than two requests at a time for each worker of a carrier.
	defaultCarrierSlots, minCarrierSlots = 1024, 2 * workersPerCarrier
)

// carrierSlots returns the number of requests that a carrier with the given memory in MB (0:
// unknown) executes at the same time.
func carrierSlots(memoryMB int64) int {
	if memoryMB <= 0 {
		return defaultCarrierSlots
	}
	return max(int(memoryMB<<20/carriedFraction/carriedBytes), minCarrierSlots)
}

// newCarrierClient returns the client through which an owner uses its carriers.
func (h *Host) newCarrierClient() *carrier.Client {
	c := carrier.New()
	c.Open = func(ctx context.Context, address string) (carrier.Stream, error) {
		return peer.Open[carrier.RequestBatch, carrier.ResponseBatch](ctx, h.peers, address, callCarry)
	}
	c.Post, c.Spawn, c.Now = h.post, h.spawn, bootClock
	c.OnLost = func(address string, requests int, err error) {
		event.CarrierLost.Log(h.Log).Str("address", address).Int("orders", requests).Err(err).Send()
	}
	return c
}

// serveCarrier executes the requests of the cell's owner until the owner closes
// the connection.
func (h *Host) serveCarrier(ctx context.Context, stream *peer.Stream[carrier.ResponseBatch, carrier.RequestBatch]) error {
	return h.carrierServer.Serve(ctx, stream)
}

// callWorker calls a worker, either directly or through a carrier.
func (h *Host) callWorker(ctx context.Context, w work.Worker, request carrier.Request, done func(carrier.Response, error)) {
	request.Worker, request.Address, request.Born = w.ID, w.Address, w.Born
	if address := h.carrierOf(w.ID); address != "" {
		h.carrierClient.Send(ctx, address, request, done)
		return
	}
	h.spawn(func() {
		response, err := h.carrierServer.Execute(ctx, &request)
		h.post(func() { done(response, err) })
	})
}

// carrierOf returns the address of the carrier for a worker, or "" if this host
// calls the worker directly. Because of the rendezvous hashing, a worker keeps
// its carrier when another one fails.
func (h *Host) carrierOf(id string) (address string) {
	var maxWeight uint64
	for _, candidate := range h.carrierAddresses {
		if !h.carrierClient.Available(candidate) {
			continue
		}
		if weight := xxhash.Sum64String(id + candidate); address == "" || weight > maxWeight {
			address, maxWeight = candidate, weight
		}
	}
	return address
}

// chooseCarriers selects the carriers for a cell with more than DirectWorkers
// workers. Hosts with a recent heartbeat come first, among them the current
// carriers, then hosts with a larger CPU share.
func (h *Host) chooseCarriers(workers int) {
	var list []string
	if workers > h.DirectWorkers {
		list = h.pickCarriers((workers + workersPerCarrier - 1) / workersPerCarrier)
	}
	if !slices.Equal(list, h.carrierAddresses) {
		event.CarriersChosen.Log(h.Log).Int("workers", workers).Strs("carriers", list).Send()
		h.carrierAddresses = list
	}
	h.carrierClient.Retain(func(address string) bool { return slices.Contains(list, address) })
}

// pickCarriers returns the sorted addresses of at most limit carriers. See
// chooseCarriers for the order of preference.
func (h *Host) pickCarriers(limit int) (list []string) {
	alive := h.aliveAddresses()
	var candidates []memberRow
	for _, m := range h.members {
		if m.Instance != h.instance && h.carrierClient.Available(m.Address) {
			candidates = append(candidates, m)
		}
	}
	slices.SortFunc(candidates, func(a, b memberRow) int {
		// A new owner has not received any heartbeats yet and tries all hosts.
		if c := compareTrueFirst(alive[a.Address], alive[b.Address]); c != 0 {
			return c
		}
		if c := compareTrueFirst(slices.Contains(h.carrierAddresses, a.Address), slices.Contains(h.carrierAddresses, b.Address)); c != 0 {
			return c
		}
		if c := cmp.Compare(b.CPUShare, a.CPUShare); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
	for _, m := range candidates[:min(limit, len(candidates))] {
		list = append(list, m.Address)
	}
	slices.Sort(list)
	return list
}

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// connectWorkers sets the functions with which an owner calls its workers.
func (h *Host) connectWorkers(ctx context.Context, o *cell.Owner) {
	toRunResponse := func(done func(work.RunResponse, error)) func(carrier.Response, error) {
		return func(response carrier.Response, err error) { done(response.Run, err) }
	}
	o.Start = func(w work.Worker, request work.StartRequest, done func(work.RunResponse, error)) {
		h.callWorker(ctx, w, carrier.Request{Timeout: workerCallTimeout, Start: &request}, toRunResponse(done))
	}
	o.Stop = func(w work.Worker, request work.RunRequest, done func(work.RunResponse, error)) {
		h.callWorker(ctx, w, carrier.Request{Timeout: workerCallTimeout, Stop: &request}, toRunResponse(done))
	}
	o.Throttle = func(w work.Worker, request work.RunRequest, percent int, done func(work.RunResponse, error)) {
		h.callWorker(ctx, w, carrier.Request{Timeout: workerCallTimeout, Throttle: &request, Percent: percent}, toRunResponse(done))
	}
	o.Renew = func(w work.Worker, request work.RenewRequest, done func(work.RenewResponse, error)) {
		h.callWorker(ctx, w, carrier.Request{Timeout: request.Wait + renewTimeout, Renew: &request}, func(response carrier.Response, err error) {
			if err != nil || response.Renewal == nil {
				done(work.RenewResponse{}, missingResponse(err))
				return
			}
			done(*response.Renewal, nil)
		})
	}
}

// missingResponse returns err, or ErrNoResponse if the response has no error
// but lacks the requested part.
func missingResponse(err error) error {
	if err == nil {
		return carrier.ErrNoResponse
	}
	return err
}

const (
	// workerCallTimeout bounds a call to a worker, which normally takes
	// milliseconds.
	workerCallTimeout = 600 * time.Millisecond
	// renewTimeout is added to the time for which a worker may delay its
	// response until a run ends.
	renewTimeout = 500 * time.Millisecond
)
