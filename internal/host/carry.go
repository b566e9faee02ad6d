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
	// directWorkers is how many workers an owner calls by itself by default.
	// Beyond, the calls would take more than a third of a small host's processor.
	directWorkers = 120
	// workersPerCarrier is how many workers one carrier serves: some 300
	// connections and a tenth of a small host's processor.
	workersPerCarrier = 90
)

// newCarriers returns the owner's client of the hosts that carry its orders.
func (h *Host) newCarriers() *carrier.Client {
	c := carrier.New()
	c.Open = func(ctx context.Context, address string) (carrier.Stream, error) {
		return peer.Open[carrier.RequestBatch, carrier.ResponseBatch](ctx, h.peers, address, callCarry)
	}
	c.Post, c.Spawn, c.Now = h.post, h.spawn, boot
	c.OnLost = func(address string, orders int, err error) {
		event.CarrierLost.Log(h.Log).Str("address", address).Int("orders", orders).Err(err).Send()
	}
	return c
}

// carry carries out the orders of the cell's owner for as long as it keeps the
// connection.
func (h *Host) carry(ctx context.Context, stream *peer.Stream[carrier.ResponseBatch, carrier.RequestBatch]) error {
	return h.workers.Serve(ctx, stream)
}

// orderWorker makes a call to a worker, by itself or through a carrier.
func (h *Host) orderWorker(ctx context.Context, w work.Worker, order carrier.Request, done func(carrier.Response, error)) {
	order.Worker, order.Address = w.ID, w.Address
	if address := h.carrierOf(w.ID); address != "" {
		h.carriers.Send(ctx, address, order, done)
		return
	}
	h.spawn(func() {
		answer, err := h.workers.Execute(ctx, &order)
		h.post(func() { done(answer, err) })
	})
}

// carrierOf returns the address of the host that calls a worker, or "" if this
// host does. A worker changes its carrier only when that one is lost.
func (h *Host) carrierOf(id string) (address string) {
	var most uint64
	for _, candidate := range h.carrierList {
		if !h.carriers.Available(candidate) {
			continue
		}
		if weight := xxhash.Sum64String(id + candidate); address == "" || weight > most {
			address, most = candidate, weight
		}
	}
	return address
}

// chooseCarriers picks the hosts that call the workers of a large cell: strong
// ones that were heard lately, and those of before as long as they are.
func (h *Host) chooseCarriers(workers int) {
	var list []string
	if workers > h.DirectWorkers {
		list = h.pickCarriers((workers + workersPerCarrier - 1) / workersPerCarrier)
	}
	if !slices.Equal(list, h.carrierList) {
		event.CarriersChosen.Log(h.Log).Int("workers", workers).Strs("carriers", list).Send()
		h.carrierList = list
	}
	h.carriers.Retain(func(address string) bool { return slices.Contains(list, address) })
}

func (h *Host) pickCarriers(most int) (list []string) {
	alive := h.aliveAddresses()
	var candidates []memberRow
	for _, m := range h.members {
		if m.Instance != h.instance && h.carriers.Available(m.Address) {
			candidates = append(candidates, m)
		}
	}
	slices.SortFunc(candidates, func(a, b memberRow) int {
		// A new owner has not heard anybody yet: then all are tried.
		if c := compareTrue(alive[a.Address], alive[b.Address]); c != 0 {
			return c
		}
		if c := compareTrue(slices.Contains(h.carrierList, a.Address), slices.Contains(h.carrierList, b.Address)); c != 0 {
			return c
		}
		if c := cmp.Compare(b.Power, a.Power); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
	for _, m := range candidates[:min(most, len(candidates))] {
		list = append(list, m.Address)
	}
	slices.Sort(list)
	return list
}

// compareTrue orders true before false.
func compareTrue(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// connectWorkers gives an owner its ways to the workers.
func (h *Host) connectWorkers(ctx context.Context, o *cell.Owner) {
	report := func(done func(work.RunResponse, error)) func(carrier.Response, error) {
		return func(a carrier.Response, err error) { done(a.Run, err) }
	}
	o.Start = func(w work.Worker, order work.StartRequest, done func(work.RunResponse, error)) {
		h.orderWorker(ctx, w, carrier.Request{Timeout: startTimeout, Start: &order}, report(done))
	}
	o.Stop = func(w work.Worker, order work.RunRequest, done func(work.RunResponse, error)) {
		h.orderWorker(ctx, w, carrier.Request{Timeout: startTimeout, Stop: &order}, report(done))
	}
	o.Throttle = func(w work.Worker, order work.RunRequest, percent int, done func(work.RunResponse, error)) {
		h.orderWorker(ctx, w, carrier.Request{Timeout: startTimeout, Throttle: &order, Percent: percent}, report(done))
	}
	o.Renew = func(w work.Worker, order work.RenewRequest, done func(work.RenewResponse, error)) {
		h.orderWorker(ctx, w, carrier.Request{Timeout: order.Wait + holdTimeout, Renew: &order}, func(a carrier.Response, err error) {
			if err != nil || a.Renewal == nil {
				done(work.RenewResponse{}, noAnswer(err))
				return
			}
			done(*a.Renewal, nil)
		})
	}
}

// noAnswer is the error of an answer that lacks what was asked for.
func noAnswer(err error) error {
	if err == nil {
		return carrier.ErrNoResponse
	}
	return err
}

const (
	// startTimeout bounds an order to a worker: it answers within milliseconds.
	startTimeout = 600 * time.Millisecond
	// holdTimeout is added to the time that a worker may wait for an end.
	holdTimeout = 500 * time.Millisecond
)
