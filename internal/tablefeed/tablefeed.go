// Package tablefeed holds the configuration tables that are current on one host,
// how long ago they were confirmed as the latest version, and the latest changes to
// them, which bring hosts that are some versions behind up to date. It does no input
// or output.
//
// A version is sent as a change to the previous version, so that its size depends on
// what was changed and not on the size of the tables. Tables never go back to an
// older version.
//
// # Usage
//
//	feed := tablefeed.New()
//	applied, err := feed.SetFromStore(tables, item.Revision, sent) // read from the store
//	update, ok := feed.UpdateSince(peerVersion, 8<<10)             // for another host
//	applied, err = feed.ApplyUpdate(update, sent)                  // from another host
//	feed.ConfirmLatest(version, sent)                              // still the latest then
//	age, behind := feed.Age()
package tablefeed

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/boottime"
	"turmericspread.org/turmericspread/internal/work"
)

// Error is the class of all errors of this package.
var Error = errs.Class("tables")

const (
	// maxChanges bounds the number of changes in the log. A host that is further
	// behind gets the complete tables.
	maxChanges = 64
	// maxChangeBytes bounds the packed size of the changes in the log.
	maxChangeBytes = 128 << 10
	// maxUnpackedBytes bounds the size of one change after decompression.
	maxUnpackedBytes = 32 << 20
)

// Update holds the changes that bring a host to a newer version.
type Update struct {
	Revision int64    `cbor:"1,keyasint"` // store revision of the tables' item
	Changes  [][]byte `cbor:"2,keyasint"` // in order, packed
}

// Feed holds the current tables of one host. Its methods may be called from any
// goroutine. Times are read from a clock that continues while the machine is
// suspended, because a suspended host receives no changes and its tables become older.
type Feed struct {
	// Now returns the time of that clock.
	Now func() time.Duration

	mu          sync.Mutex
	tables      *work.Tables
	revision    int64         // store revision of the item that the tables are from
	confirmed   time.Duration // when the tables were last known to be the latest version
	latestKnown int64         // latest version known to exist
	log         []logEntry    // changes that led to the tables, oldest first
	logBytes    int           // packed size of the changes in log
	full        []byte        // the tables as one packed change; nil until it is needed
}

// logEntry is one packed change with its versions.
type logEntry struct {
	from, to int64
	data     []byte
}

// New returns a Feed without tables.
func New() *Feed { return &Feed{Now: boottime.Now} }

// Current returns the current tables and the store revision of their item. The
// tables are nil until the first version is set.
func (f *Feed) Current() (tables *work.Tables, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tables, f.revision
}

// Age returns how long ago the tables were last known to be the latest version, and
// whether a newer version is known to exist.
func (f *Feed) Age() (age time.Duration, behind bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Now() - f.confirmed, f.tables != nil && f.latestKnown > f.tables.Version
}

// ConfirmLatest records that version was the latest one at the time asOf.
func (f *Feed) ConfirmLatest(version int64, asOf time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latestKnown = max(f.latestKnown, version)
	if f.tables != nil && f.tables.Version == version {
		f.confirmed = max(f.confirmed, asOf)
	}
}

// HasRevision reports whether the tables are from the given revision of the store's
// item, so that the item need not be decoded again.
func (f *Feed) HasRevision(revision int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tables != nil && f.revision == revision
}

// SetFromStore sets the tables, which were the latest version at the time asOf.
// Tables older than the current ones are ignored. The indexes of the tables must have
// been built.
func (f *Feed) SetFromStore(tables *work.Tables, revision int64, asOf time.Duration) (applied bool, err error) {
	defer Error.WrapP(&err)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.tables != nil && tables.Version <= f.tables.Version {
		if tables.Version == f.tables.Version {
			f.revision = max(f.revision, revision)
			f.confirmed = max(f.confirmed, asOf)
		}
		return false, nil
	}
	if f.tables != nil {
		change := work.DiffTables(f.tables, tables)
		data, err := pack(&change)
		if err != nil {
			return false, err
		}
		f.appendLog(logEntry{change.From, change.To, data})
	}
	f.replace(tables, revision, asOf)
	return true, nil
}

// ApplyUpdate applies an update that led to the latest version at the time asOf.
// Changes up to the current version are skipped.
func (f *Feed) ApplyUpdate(update Update, asOf time.Duration) (applied bool, err error) {
	defer Error.WrapP(&err)
	f.mu.Lock()
	defer f.mu.Unlock()
	tables := f.tables
	var entries []logEntry
	for _, data := range update.Changes {
		change, err := unpack(data)
		if err != nil {
			return false, err
		}
		if tables != nil && change.To <= tables.Version {
			continue // already applied from another source
		}
		if tables, err = tables.Apply(change); err != nil {
			return false, err
		}
		entries = append(entries, logEntry{change.From, change.To, data})
	}
	if len(entries) == 0 {
		return false, nil
	}
	for _, entry := range entries {
		f.appendLog(entry)
	}
	f.replace(tables, update.Revision, asOf)
	return true, nil
}

// replace makes tables the current ones. The caller holds the lock.
func (f *Feed) replace(tables *work.Tables, revision int64, asOf time.Duration) {
	f.tables, f.revision, f.full = tables, revision, nil
	f.latestKnown = max(f.latestKnown, tables.Version)
	f.confirmed = max(f.confirmed, asOf)
}

// appendLog adds a change to the log for hosts that are behind. A change from
// version 0 holds complete tables: it clears the log, because the changes before it
// do not lead to it.
func (f *Feed) appendLog(entry logEntry) {
	if entry.from == 0 {
		f.log, f.logBytes = nil, 0
		return
	}
	f.log = append(f.log, entry)
	f.logBytes += len(entry.data)
	for len(f.log) > maxChanges || f.logBytes > maxChangeBytes && len(f.log) > 0 {
		f.logBytes -= len(f.log[0].data)
		f.log = f.log[1:]
	}
}

// UpdateSince returns the changes that bring a host from version to the current one.
// It returns false if they take more than maxBytes or if there are no tables yet. The
// update is empty if the host is not behind, and holds the complete tables if the log
// does not reach back to version.
func (f *Feed) UpdateSince(version int64, maxBytes int) (update Update, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.tables == nil {
		return Update{}, false
	}
	update.Revision = f.revision
	if version >= f.tables.Version {
		return update, true
	}
	size := 0
	for _, entry := range f.log {
		if entry.from == version || len(update.Changes) > 0 {
			update.Changes = append(update.Changes, entry.data)
			size += len(entry.data)
		}
	}
	if len(update.Changes) > 0 {
		return update, size <= maxBytes
	}
	if f.full == nil {
		change := work.DiffTables(nil, f.tables)
		data, err := pack(&change)
		if err != nil {
			return Update{}, false
		}
		f.full = data
	}
	update.Changes = [][]byte{f.full}
	return update, len(f.full) <= maxBytes
}

// The first byte of a packed change names the encoding of the rest.
const (
	packedPlain    = 0
	packedDeflated = 1
)

// minDeflateBytes is the size from which a change is compressed. Below it, the saving
// is not worth the CPU time and memory of a compressor.
const minDeflateBytes = 4 << 10

// pack encodes a change and compresses it if it is large.
func pack(change *work.TablesChange) (data []byte, err error) {
	plain, err := work.EncodeChange(change)
	if err != nil {
		return nil, err
	}
	if len(plain) < minDeflateBytes {
		return append([]byte{packedPlain}, plain...), nil
	}
	packed := bytes.NewBuffer([]byte{packedDeflated})
	writer, err := flate.NewWriter(packed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(plain); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

// unpack decodes a change that pack encoded.
func unpack(data []byte) (change *work.TablesChange, err error) {
	switch {
	case len(data) == 0:
		return nil, errs.New("empty change")
	case data[0] == packedPlain:
		return work.DecodeChange(data[1:])
	case data[0] != packedDeflated:
		return nil, errs.New("change of unknown form %d", data[0])
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data[1:])), maxUnpackedBytes))
	if err != nil {
		return nil, err
	}
	return work.DecodeChange(plain)
}
