package host

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/kvstore"
	"turmericspread.org/turmericspread/internal/peer"
	"turmericspread.org/turmericspread/internal/tablefeed"
	"turmericspread.org/turmericspread/internal/work"
)

const (
	// tablesCheckInterval is the interval between two checks for a new
	// configuration by a host that receives no heartbeat responses. The store
	// is polled because a watch may fail without notice.
	tablesCheckInterval = 300 * time.Millisecond
	// tablesMargin is added to the heartbeat interval of this host and to the
	// liveness interval of the owner. Until then heartbeat responses are
	// expected to report changes.
	tablesMargin = 300 * time.Millisecond
	// defaultMaxTablesAge is the default for Host.MaxTablesAge.
	defaultMaxTablesAge = time.Second
	// maxRefreshWait is the maximum time that a request waits for a refresh.
	maxRefreshWait = 700 * time.Millisecond
	// staleTablesAge is the age from which the configuration is logged as
	// stale.
	staleTablesAge = 2 * time.Second
	// maxInlineUpdate is the maximum size in bytes of an update within a
	// heartbeat response. A larger update is fetched separately, so that the
	// heartbeat does not time out on a slow link.
	maxInlineUpdate = 8 << 10
	// maxPeerUpdate is the maximum size in bytes of an update fetched from
	// another host.
	maxPeerUpdate = 16 << 20
)

// tablesRequest requests the changes since a version of the configuration.
type tablesRequest struct {
	Version int64 // current version on the requesting host
	Most    int   // maximum size of the update in bytes
}

// tablesReply contains the requested changes and confirms the version of the
// responding host.
type tablesReply struct {
	Version int64 // current version on the responding host; 0: none
	Age     int64 // milliseconds since it was confirmed to be the latest, rounded up
	Update  tablefeed.Update
	Whole   bool // Update leads to Version; false: the update is too large
}

// Tables returns the current configuration, or nil if none was read yet.
func (h *Host) Tables() *work.Tables {
	tables, _ := h.tables.Current()
	return tables
}

// TablesAge returns the time since the current configuration was last confirmed
// to be the latest.
func (h *Host) TablesAge() time.Duration {
	age, _ := h.tables.Age()
	return age
}

// FreshTables returns the current configuration and whether it was confirmed to
// be the latest within MaxTablesAge. If it was not, FreshTables first waits up
// to maxRefreshWait for a refresh, unless the store is unavailable.
func (h *Host) FreshTables(ctx context.Context) (tables *work.Tables, fresh bool) {
	if h.tablesFresh(h.MaxTablesAge) || !h.storeUp() {
		return h.Tables(), h.tablesFresh(h.MaxTablesAge)
	}
	waitCtx, cancel := context.WithTimeout(ctx, maxRefreshWait)
	defer cancel()
	select {
	case <-h.refreshOnce():
	case <-waitCtx.Done():
	}
	return h.Tables(), h.tablesFresh(h.MaxTablesAge)
}

// tablesFresh reports whether the current configuration was confirmed to be the
// latest within the given time and no newer version is known to exist.
func (h *Host) tablesFresh(within time.Duration) bool {
	age, behind := h.tables.Age()
	return age < within && !behind
}

// refreshOnce starts a refresh unless one is in progress, and returns a channel
// that is closed when the refresh has ended.
func (h *Host) refreshOnce() (done <-chan struct{}) {
	h.refreshMu.Lock()
	defer h.refreshMu.Unlock()
	if h.refreshDone == nil {
		ended := make(chan struct{})
		h.refreshDone = ended
		h.spawn(func() {
			h.refresh(h.runCtx)
			h.refreshMu.Lock()
			h.refreshDone = nil
			h.refreshMu.Unlock()
			close(ended)
		})
	}
	return h.refreshDone
}

// followTables refreshes the configuration whenever no recent heartbeat
// response has confirmed it, and logs when it becomes stale or fresh again.
func (h *Host) followTables(ctx context.Context) {
	stale := false
	for ctx.Err() == nil {
		if !h.tablesFresh(h.heartbeatInterval() + livenessInterval + tablesMargin) {
			<-h.refreshOnce()
		}
		age, behind := h.tables.Age()
		if nowStale := h.Tables() != nil && age > staleTablesAge; nowStale != stale {
			stale = nowStale
			transition := event.TablesFresh
			if stale {
				transition = event.TablesStale
			}
			transition.Log(h.Log).Dur("age", age).Bool("behind", behind).Int64("version", h.Tables().Version).Send()
		}
		sleep(ctx, tablesCheckInterval)
	}
}

// refresh checks whether the current configuration is the latest, and fetches
// the latest if it is not. A host without access to the store queries other
// hosts first, because the complete value would be transferred over two slow
// links.
func (h *Host) refresh(ctx context.Context) {
	if h.relay.DirectOutage() > 0 && h.queryPeersForTables(ctx) {
		return
	}
	if err := h.checkTables(ctx); err != nil && h.relay.DirectOutage() == 0 {
		h.queryPeersForTables(ctx)
	}
}

// checkTables reads the configuration from the store. If a version with a known
// revision is current, the store sends the value only if it has changed.
func (h *Host) checkTables(ctx context.Context) (err error) {
	sent := bootClock()
	tables, revision := h.tables.Current()
	if revision > 0 {
		_, found, err := h.store.WriteLarge(ctx, kvstore.Txn{
			Expected: []kvstore.Condition{{Key: h.StoreLayout.TablesKey, Revision: revision}},
		})
		switch {
		case err == nil:
			h.tables.ConfirmLatest(tables.Version, sent)
			return nil
		case errs.Is(err, kvstore.ErrConflict) && h.applyItems(found, sent):
			return nil
		}
	}
	item, err := h.store.GetLarge(ctx, h.StoreLayout.TablesKey)
	if err != nil {
		return err
	}
	h.applyItems([]kvstore.Item{item}, sent)
	return nil
}

// applyItems applies the configuration if it is among the items, which were
// read at the time asOf.
func (h *Host) applyItems(items []kvstore.Item, asOf time.Duration) (applied bool) {
	for i := range items {
		if items[i].Key == h.StoreLayout.TablesKey && items[i].Revision > 0 && len(items[i].Value) > 0 {
			h.applyTables(&items[i], asOf)
			return true
		}
	}
	return false
}

// applyTables decodes and applies the configuration read from the store, unless
// its revision is already current.
func (h *Host) applyTables(item *kvstore.Item, asOf time.Duration) {
	if h.tables.HasRevision(item.Revision) {
		h.tables.ConfirmLatest(h.Tables().Version, asOf)
		return
	}
	tables, err := h.StoreLayout.DecodeTables(item.Value)
	if err != nil {
		event.ConfigRefused.Log(h.Log).Int64("revision", item.Revision).Err(err).Send()
		return
	}
	tables.BuildIndexes()
	applied, err := h.tables.SetFromStore(tables, item.Revision, asOf)
	h.recordTables("store", asOf, applied, err)
}

// applyUpdate applies an update received from another host.
func (h *Host) applyUpdate(from string, update tablefeed.Update, asOf time.Duration) {
	applied, err := h.tables.ApplyUpdate(update, asOf)
	h.recordTables(from, asOf, applied, err)
}

// recordTables logs the result of an update. This host is ready once a
// configuration was applied.
func (h *Host) recordTables(from string, asOf time.Duration, applied bool, err error) {
	if err != nil {
		event.ConfigRefused.Log(h.Log).Str("from", from).Err(err).Send()
		return
	}
	if !applied {
		return
	}
	tables, revision := h.tables.Current()
	event.ConfigApplied.Log(h.Log).Int64("version", tables.Version).Int64("revision", revision).Str("from", from).
		Dur("age", bootClock()-asOf).Int("queues", len(tables.Queues)).Int("teams", len(tables.Teams)).Send()
	h.ready.Store(true)
}

// queryPeersForTables queries a few other hosts for a newer configuration. It
// stops and returns true once the current configuration is confirmed to be the
// latest.
func (h *Host) queryPeersForTables(ctx context.Context) (confirmed bool) {
	for _, address := range h.relayAddresses() {
		reply, sent, err := h.queryPeerForTables(ctx, address, maxInlineUpdate, directTimeout)
		if err == nil && !reply.Whole && reply.Version > 0 {
			// The host responds, so a longer timeout for the large update is
			// justified.
			reply, sent, err = h.queryPeerForTables(ctx, address, maxPeerUpdate, largeTimeout)
		}
		if err != nil || reply.Version == 0 {
			continue
		}
		h.applyPeerTables(address, reply, sent)
		if h.tablesFresh(h.MaxTablesAge) {
			return true
		}
	}
	return false
}

// queryPeerForTables queries one host for an update of at most maxBytes bytes.
func (h *Host) queryPeerForTables(ctx context.Context, address string, maxBytes int, timeout time.Duration) (reply *tablesReply, sent time.Duration, err error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent = bootClock()
	reply, err = peer.Call[tablesRequest, tablesReply](callCtx, h.peers, address, callTables, &tablesRequest{
		Version: h.tablesVersion(), Most: maxBytes,
	})
	return reply, sent, err
}

// tablesVersion returns the current version of the configuration, or 0.
func (h *Host) tablesVersion() int64 {
	if tables := h.Tables(); tables != nil {
		return tables.Version
	}
	return 0
}

// applyPeerTables applies the update and the confirmation received from another
// host.
func (h *Host) applyPeerTables(from string, reply *tablesReply, sent time.Duration) {
	if reply.Version == 0 {
		return
	}
	asOf := sent - time.Duration(reply.Age)*time.Millisecond
	if reply.Whole {
		h.applyUpdate(from, reply.Update, asOf)
	}
	h.tables.ConfirmLatest(reply.Version, asOf)
}

// tablesReplyFor returns the reply to a host whose current version is given.
func (h *Host) tablesReplyFor(version int64, maxBytes int) (reply tablesReply) {
	tables, _ := h.tables.Current()
	if tables == nil {
		return reply
	}
	reply.Age = h.TablesAge().Milliseconds() + 1
	reply.Version = tables.Version
	if reply.Update, reply.Whole = h.tables.UpdateSince(version, maxBytes); !reply.Whole {
		reply.Update = tablefeed.Update{}
	}
	return reply
}

func (h *Host) onTables(_ context.Context, in *tablesRequest) (out *tablesReply, err error) {
	reply := h.tablesReplyFor(in.Version, in.Most)
	return &reply, nil
}
