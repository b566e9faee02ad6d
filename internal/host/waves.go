package host

import (
	"context"
	"time"

	"turmericspread.org/turmericspread/internal/cell"
	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/kvstore"
	"turmericspread.org/turmericspread/internal/work"
)

// wavesKey is the row of the waves. It is outside the prefix of the cell's rows, which all
// hosts read.
const wavesKey = "cell-waves"

const (
	// machinesInterval is the interval between two readings of the list of machines while a
	// wave is open.
	machinesInterval = 2 * time.Second
	// machinesTimeout bounds one reading.
	machinesTimeout = 1500 * time.Millisecond
	// maxUpkeepDelay is the maximum time from the decision to make a call until it is sent. The
	// process may be suspended in between, and the cell have another owner since.
	maxUpkeepDelay = 200 * time.Millisecond
	// waveCheckInterval is the interval between two checks whether a wave is open.
	waveCheckInterval = 250 * time.Millisecond
)

// hasCloud reports whether the platform offers the upkeep of machines.
func (h *Host) hasCloud() bool {
	return h.ListMachines != nil && h.OrderUpkeep != nil && h.StoreLayout.WavesPrefix != ""
}

// connectCloud connects an owner to the upkeep of machines. The row is as it was read after the
// claim.
func (h *Host) connectCloud(ctx context.Context, o *cell.Owner, ownerRev int64, row kvstore.Item) {
	if !h.hasCloud() {
		return
	}
	holder := h.Name + "/" + h.instance
	o.OrderUpkeep = func(request work.UpkeepRequest, done func(error)) {
		decided := bootClock()
		callInBackground(h, ctx, cell.UpkeepTimeout, func(_ struct{}, err error) { done(err) }, func(ctx context.Context) (struct{}, error) {
			if bootClock()-decided > maxUpkeepDelay {
				return struct{}{}, work.ErrNotSent
			}
			return struct{}{}, h.OrderUpkeep(ctx, holder, request)
		})
	}
	stored := &storedRow{revision: row.Revision, known: true}
	o.SaveWaves = func(row []byte, states map[string]cell.WaveState, done func(bool)) {
		h.spawn(func() {
			ok := h.saveWaves(ctx, ownerRev, stored, row, states)
			h.post(func() { done(ok) })
		})
	}
	if err := o.RestoreWaves(row.Value); err != nil {
		event.EntryMalformed.Log(h.Log).Str("key", wavesKey).Err(err).Send()
	}
}

// storedRow is the revision of a row of this owner in the store.
type storedRow struct {
	revision int64
	known    bool
}

// saveWaves writes the row of the waves and the states of some of them. The write is conditional
// on the previous one, so that a delayed write cannot overwrite a newer one. Calls do not overlap.
func (h *Host) saveWaves(ctx context.Context, ownerRev int64, stored *storedRow, row []byte, states map[string]cell.WaveState) (ok bool) {
	if !stored.known {
		item, err := h.store.Get(ctx, wavesKey)
		if err != nil {
			return false
		}
		*stored = storedRow{revision: item.Revision, known: true}
	}
	txn := kvstore.Txn{
		Expected: []kvstore.Condition{{Key: ownerKey, Revision: ownerRev}, {Key: wavesKey, Revision: stored.revision}},
		Puts:     []kvstore.Put{{Key: wavesKey, Value: row}},
	}
	for name, state := range states {
		key, value := h.StoreLayout.EncodeWaveState(name, state)
		txn.Puts = append(txn.Puts, kvstore.Put{Key: key, Value: value})
	}
	stored.known = false
	revision, _, err := h.store.Write(ctx, txn)
	if err != nil {
		event.CellRecordRefused.Log(h.Log).Str("key", wavesKey).Err(err).Send()
		return false
	}
	*stored = storedRow{revision: revision, known: true}
	return true
}

// listWaves reads the requests for the upkeep of machines. A malformed one is as if it did not exist,
// and is logged once for each version.
func (h *Host) listWaves(ctx context.Context) (waves []work.Wave, err error) {
	if !h.hasCloud() {
		return nil, nil
	}
	items, _, err := h.store.List(ctx, h.StoreLayout.WavesPrefix)
	if err != nil {
		return nil, err
	}
	for i := range items {
		w, err := h.StoreLayout.DecodeWave(items[i].Key, items[i].Value)
		if err == nil {
			waves = append(waves, w)
			continue
		}
		if last, ok := h.malformedWaves.Swap(items[i].Key, items[i].Revision); !ok || last != items[i].Revision {
			event.EntryMalformed.Log(h.Log).Str("key", items[i].Key).Int64("revision", items[i].Revision).Err(err).Send()
		}
	}
	return waves, nil
}

// loadWaves reads the row of the waves.
func (h *Host) loadWaves(ctx context.Context) (row kvstore.Item, err error) {
	if !h.hasCloud() {
		return row, nil
	}
	return h.store.Get(ctx, wavesKey)
}

// followMachines reads the list of machines while the owner needs it.
func (h *Host) followMachines(ctx context.Context) {
	if !h.hasCloud() {
		return
	}
	failed := false
	for ctx.Err() == nil {
		needed := false
		_ = h.loop.Call(ctx, func() { needed = h.cellOwner != nil && h.cellOwner.NeedsMachines() })
		if !needed {
			sleep(ctx, waveCheckInterval)
			continue
		}
		asOf := bootClock()
		callCtx, cancel := context.WithTimeout(ctx, machinesTimeout)
		list, err := h.ListMachines(callCtx)
		cancel()
		if err == nil {
			h.post(func() {
				if h.cellOwner != nil {
					h.cellOwner.SetMachines(list, asOf)
				}
			})
		} else if !failed && ctx.Err() == nil {
			event.MachinesUnread.Log(h.Log).Err(err).Send()
		}
		failed = err != nil
		sleep(ctx, machinesInterval)
	}
}
