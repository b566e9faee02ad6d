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
	// tablesPeriod is the time between two looks whether the configuration has
	// changed, by a host that no heartbeat tells. A watch can be silent, so none
	// is used.
	tablesPeriod = 300 * time.Millisecond
	// tablesMargin is added to the time between two heartbeats of this host and
	// between two looks of the owner: until then heartbeats tell of changes.
	tablesMargin = 300 * time.Millisecond
	// tablesBound is the age of what is in force from which a call waits for a
	// newer look, where the settings name none.
	tablesBound = time.Second
	// tablesWait is how long a call waits for that.
	tablesWait = 700 * time.Millisecond
	// tablesOld is the age of the last look from which it is logged as stale.
	tablesOld = 2 * time.Second
	// inlineUpdate bounds the update that comes with the answer to a heartbeat,
	// in bytes. A larger one is fetched by itself, so that the heartbeat does not
	// time out on a slow link.
	inlineUpdate = 8 << 10
	// peerUpdate bounds the update that another host gives.
	peerUpdate = 16 << 20
)

type tablesRequest struct {
	Version int64 // in force on the asking host
	Most    int   // bytes of the update
}

type tablesReply struct {
	Version int64 // in force on the answering host; 0: none
	Age     int64 // milliseconds since it was known to be the newest
	Update  tablefeed.Update
	Whole   bool // Update brings the asking host to Version; else it is too large
}

// Tables returns the configuration in force, nil before the first was read.
func (h *Host) Tables() *work.Tables {
	tables, _ := h.tables.Current()
	return tables
}

// TablesAge returns how long ago the configuration in force was known to be the
// newest.
func (h *Host) TablesAge() time.Duration {
	age, _ := h.tables.Age()
	return age
}

// FreshTables returns the configuration in force and whether it was known to be
// the newest within MaxTablesAge. If it was not, it looks before it answers.
func (h *Host) FreshTables(ctx context.Context) (tables *work.Tables, fresh bool) {
	if h.tablesFresh(h.MaxTablesAge) || !h.storeUp() {
		return h.Tables(), h.tablesFresh(h.MaxTablesAge)
	}
	waitCtx, cancel := context.WithTimeout(ctx, tablesWait)
	defer cancel()
	select {
	case <-h.refreshOnce():
	case <-waitCtx.Done():
	}
	return h.Tables(), h.tablesFresh(h.MaxTablesAge)
}

func (h *Host) tablesFresh(within time.Duration) bool {
	age, behind := h.tables.Age()
	return age < within && !behind
}

// refreshOnce starts a look, unless one is under way, and returns a channel that
// is closed when it has ended.
func (h *Host) refreshOnce() (done <-chan struct{}) {
	h.refreshMu.Lock()
	defer h.refreshMu.Unlock()
	if h.refreshing == nil {
		ended := make(chan struct{})
		h.refreshing = ended
		h.spawn(func() {
			h.refresh(h.runCtx)
			h.refreshMu.Lock()
			h.refreshing = nil
			h.refreshMu.Unlock()
			close(ended)
		})
	}
	return h.refreshing
}

// followTables looks for changes of the configuration whenever no heartbeat has
// told of it lately.
func (h *Host) followTables(ctx context.Context) {
	stale := false
	for ctx.Err() == nil {
		if !h.tablesFresh(h.beatEvery() + ownerBeatPeriod + tablesMargin) {
			<-h.refreshOnce()
		}
		age, behind := h.tables.Age()
		if old := h.Tables() != nil && age > tablesOld; old != stale {
			stale = old
			note := event.TablesFresh
			if stale {
				note = event.TablesStale
			}
			note.Log(h.Log).Dur("age", age).Bool("behind", behind).Int64("version", h.Tables().Version).Send()
		}
		pause(ctx, tablesPeriod)
	}
}

// refresh finds out whether the configuration in force is the newest, and gets
// the newest if it is not. A host that the store turns away asks other hosts
// first: the whole value would cross two slow links.
func (h *Host) refresh(ctx context.Context) {
	if h.relay.DirectOutage() > 0 && h.askTables(ctx) {
		return
	}
	if err := h.checkTables(ctx); err != nil && h.relay.DirectOutage() == 0 {
		h.askTables(ctx)
	}
}

// checkTables looks at the store. If the version in force is known there, the
// value is sent only if it has changed.
func (h *Host) checkTables(ctx context.Context) (err error) {
	sent := boot()
	tables, revision := h.tables.Current()
	if revision > 0 {
		_, found, err := h.store.WriteLarge(ctx, kvstore.Txn{
			Expected: []kvstore.Condition{{Key: h.StoreLayout.TablesKey, Revision: revision}},
		})
		switch {
		case err == nil:
			h.tables.ConfirmLatest(tables.Version, sent)
			return nil
		case errs.Is(err, kvstore.ErrConflict) && h.takeItems(found, sent):
			return nil
		}
	}
	item, err := h.store.GetLarge(ctx, h.StoreLayout.TablesKey)
	if err != nil {
		return err
	}
	h.takeItems([]kvstore.Item{item}, sent)
	return nil
}

// takeItems applies the configuration if it is among items that were read at
// the time asOf.
func (h *Host) takeItems(items []kvstore.Item, asOf time.Duration) (taken bool) {
	for i := range items {
		if items[i].Key == h.StoreLayout.TablesKey && items[i].Revision > 0 && len(items[i].Value) > 0 {
			h.applyTables(&items[i], asOf)
			return true
		}
	}
	return false
}

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
	h.noteTables("store", asOf, applied, err)
}

// takeUpdate applies what another host has given.
func (h *Host) takeUpdate(from string, update tablefeed.Update, asOf time.Duration) {
	applied, err := h.tables.ApplyUpdate(update, asOf)
	h.noteTables(from, asOf, applied, err)
}

func (h *Host) noteTables(from string, asOf time.Duration, applied bool, err error) {
	if err != nil {
		event.ConfigRefused.Log(h.Log).Str("from", from).Err(err).Send()
		return
	}
	if !applied {
		return
	}
	tables, revision := h.tables.Current()
	event.ConfigApplied.Log(h.Log).Int64("version", tables.Version).Int64("revision", revision).Str("from", from).
		Dur("age", boot()-asOf).Int("queues", len(tables.Queues)).Int("teams", len(tables.Teams)).Send()
	h.ready.Store(true)
}

// askTables asks a few other hosts for a newer configuration.
func (h *Host) askTables(ctx context.Context) (confirmed bool) {
	for _, address := range h.relayAddresses() {
		reply, sent, err := h.askTablesAt(ctx, address, inlineUpdate, directTimeout)
		if err == nil && !reply.Whole && reply.Version > 0 {
			// The host lives: the rest may take a while on a slow link.
			reply, sent, err = h.askTablesAt(ctx, address, peerUpdate, largeTimeout)
		}
		if err != nil || reply.Version == 0 {
			continue
		}
		h.vouch(address, reply, sent)
		if h.tablesFresh(h.MaxTablesAge) {
			return true
		}
	}
	return false
}

func (h *Host) askTablesAt(ctx context.Context, address string, most int, timeout time.Duration) (reply *tablesReply, sent time.Duration, err error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent = boot()
	reply, err = peer.Call[tablesRequest, tablesReply](callCtx, h.peers, address, callTables, &tablesRequest{
		Version: h.tablesVersion(), Most: most,
	})
	return reply, sent, err
}

func (h *Host) tablesVersion() int64 {
	if tables := h.Tables(); tables != nil {
		return tables.Version
	}
	return 0
}

// vouch takes in what another host knows of the configuration.
func (h *Host) vouch(from string, reply *tablesReply, sent time.Duration) {
	if reply.Version == 0 {
		return
	}
	asOf := sent - time.Duration(reply.Age)*time.Millisecond
	if reply.Whole {
		h.takeUpdate(from, reply.Update, asOf)
	}
	h.tables.ConfirmLatest(reply.Version, asOf)
}

// tablesFor answers a host that has the given version in force.
func (h *Host) tablesFor(version int64, most int) (reply tablesReply) {
	tables, _ := h.tables.Current()
	if tables == nil {
		return reply
	}
	reply.Age = h.TablesAge().Milliseconds() + 1
	reply.Version = tables.Version
	if reply.Update, reply.Whole = h.tables.UpdateSince(version, most); !reply.Whole {
		reply.Update = tablefeed.Update{}
	}
	return reply
}

func (h *Host) onTables(_ context.Context, in *tablesRequest) (out *tablesReply, err error) {
	reply := h.tablesFor(in.Version, in.Most)
	return &reply, nil
}
