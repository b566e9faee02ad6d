package host

import (
	"context"
	"time"

	"turmericspread.org/turmericspread/internal/kvstore"
)

const (
	// speedsInterval is the minimum interval between two writes of the learned speeds.
	speedsInterval = 2 * time.Second
	// maxSpeedsWait is how long a takeover waits for the learned speeds once all that it needs
	// has been read. The reads begin together, so it rarely waits.
	maxSpeedsWait = 50 * time.Millisecond
)

// speedsRead is a read of the learned speeds in progress. Cancel it when it is not needed any
// more.
type speedsRead struct {
	value  chan []byte
	cancel context.CancelFunc
}

// readSpeeds begins to read the learned speeds that the former owner has stored.
func (h *Host) readSpeeds(ctx context.Context) speedsRead {
	ctx, cancel := context.WithCancel(ctx)
	read := speedsRead{value: make(chan []byte, 1), cancel: cancel}
	h.spawn(func() {
		item, err := h.store.Get(ctx, speedsKey)
		if err != nil {
			item = kvstore.Item{} // nothing is known; store failures are logged at their source
		}
		read.value <- item.Value
	})
	return read
}

// wait returns the stored record, or nil if there is none or it is late.
func (r speedsRead) wait() []byte {
	select {
	case value := <-r.value:
		return value
	case <-time.After(maxSpeedsWait):
		return nil
	}
}

// followSpeeds saves the learned speeds for a successor when they have changed notably.
func (h *Host) followSpeeds(ctx context.Context, ownerRev int64) {
	var stored storedSpeeds
	for ctx.Err() == nil {
		sleep(ctx, speedsInterval)
		var data []byte
		var confirm func()
		err := h.loop.Call(ctx, func() {
			if h.cellOwner != nil && h.storeUp() {
				data, confirm = h.cellOwner.SpeedsToSave()
			}
		})
		if err == nil && data != nil && h.saveSpeeds(ctx, ownerRev, data, &stored) {
			h.post(confirm)
		}
	}
}

// storedSpeeds is what is known of the row in the store.
type storedSpeeds struct {
	revision int64
	known    bool
}

// saveSpeeds writes the learned speeds, on the condition that this host still owns the cell
// and that the row is as last seen, so that a delayed write cannot overwrite a newer one. It
// does not write shortly after a failure of the store, which has more important calls to
// answer then. The row is only a hint, so a failed write is not repeated before the next change
// is due.
func (h *Host) saveSpeeds(ctx context.Context, ownerRev int64, data []byte, stored *storedSpeeds) (ok bool) {
	if time.Since(h.store.LastFailure()) < h.Bounds.StoreGrace {
		return false
	}
	if !stored.known {
		item, err := h.store.Get(ctx, speedsKey)
		if err != nil {
			return false
		}
		*stored = storedSpeeds{revision: item.Revision, known: true}
	}
	stored.known = false
	revision, _, err := h.store.Write(ctx, kvstore.Txn{
		Expected: []kvstore.Condition{{Key: ownerKey, Revision: ownerRev}, {Key: speedsKey, Revision: stored.revision}},
		Puts:     []kvstore.Put{{Key: speedsKey, Value: data}},
	})
	if err != nil {
		return false
	}
	*stored = storedSpeeds{revision: revision, known: true}
	return true
}
