// Package tablefeed holds the operators' tables that are in force on one host,
// how long ago they were known to be the newest, and the changes that led to
// them, for hosts that are some versions behind. It does no input or output.
//
// A version travels as a change to the version before, so that what it costs
// follows what was changed and not the size of the tables. Tables never go
// back to an older version.
//
// # Usage
//
//	feed := tablefeed.New()
//	feed.SetFromStore(tables, item.Revision, sent)     // read from the store
//	update, ok := feed.UpdateSince(peerVersion, 8<<10) // for another host
//	err := feed.ApplyUpdate(update, sent.Add(-update.Age))
//	feed.ConfirmLatest(version, sent)                  // still the newest then
//	age := feed.Age()
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
	// changesKept bounds the changes that are remembered: a host that is further
	// behind gets the whole.
	changesKept = 64
	// changeBytes bounds the memory that they take.
	changeBytes = 128 << 10
	// updateMost bounds what one change may unpack to, in bytes.
	updateMost = 32 << 20
)

// Update brings a host to a newer version.
type Update struct {
	Revision int64    `cbor:"1,keyasint"` // of the store's item
	Changes  [][]byte `cbor:"2,keyasint"` // in order, packed
}

// Feed is the tables in force on one host. Its methods may be called from any
// goroutine. Times are read from a clock that counts suspensions: a host that
// was suspended has not heard of changes meanwhile.
type Feed struct {
	// Now reads that clock.
	Now func() time.Duration

	mu        sync.Mutex
	tables    *work.Tables
	revision  int64         // of the store's item that the tables are from
	confirmed time.Duration // when the tables were last known to be the newest
	heard     int64         // newest version that is known to exist
	log       []logged
	logBytes  int
	whole     []byte // the tables in force as one change; made when it is first asked for
}

type logged struct {
	from, to int64
	data     []byte
}

// New returns a Feed without tables.
func New() *Feed { return &Feed{Now: boottime.Now} }

// Current returns the tables in force and the revision of the store's item
// that has them; nil before the first.
func (f *Feed) Current() (tables *work.Tables, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tables, f.revision
}

// Age returns how long ago the tables in force were known to be the newest, and
// whether a newer version is known to exist.
func (f *Feed) Age() (age time.Duration, behind bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Now() - f.confirmed, f.tables != nil && f.heard > f.tables.Version
}

// ConfirmLatest notes that version was the newest at the time asOf.
func (f *Feed) ConfirmLatest(version int64, asOf time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard = max(f.heard, version)
	if f.tables != nil && f.tables.Version == version {
		f.confirmed = max(f.confirmed, asOf)
	}
}

// HasRevision reports whether the tables in force are from the given revision of the
// store's item, which then need not be decoded again.
func (f *Feed) HasRevision(revision int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tables != nil && f.revision == revision
}

// SetFromStore takes in tables that were the newest at the time asOf. Older ones than
// those in force are ignored. Tables must be indexed.
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
		f.remember(logged{change.From, change.To, data})
	}
	f.replace(tables, revision, asOf)
	return true, nil
}

// ApplyUpdate applies an update that was the newest at the time asOf.
func (f *Feed) ApplyUpdate(update Update, asOf time.Duration) (applied bool, err error) {
	defer Error.WrapP(&err)
	f.mu.Lock()
	defer f.mu.Unlock()
	tables := f.tables
	var entries []logged
	for _, data := range update.Changes {
		change, err := unpack(data)
		if err != nil {
			return false, err
		}
		if tables != nil && change.To <= tables.Version {
			continue // came by another way meanwhile
		}
		if tables, err = tables.Apply(change); err != nil {
			return false, err
		}
		entries = append(entries, logged{change.From, change.To, data})
	}
	if len(entries) == 0 {
		return false, nil
	}
	for _, entry := range entries {
		f.remember(entry)
	}
	f.replace(tables, update.Revision, asOf)
	return true, nil
}

func (f *Feed) replace(tables *work.Tables, revision int64, asOf time.Duration) {
	f.tables, f.revision, f.whole = tables, revision, nil
	f.heard = max(f.heard, tables.Version)
	f.confirmed = max(f.confirmed, asOf)
}

// remember adds a change to those for hosts that are behind. The whole of a
// version begins a new series.
func (f *Feed) remember(entry logged) {
	if entry.from == 0 {
		f.log, f.logBytes = nil, 0
		return
	}
	f.log = append(f.log, entry)
	f.logBytes += len(entry.data)
	for len(f.log) > changesKept || f.logBytes > changeBytes && len(f.log) > 0 {
		f.logBytes -= len(f.log[0].data)
		f.log = f.log[1:]
	}
}

// UpdateSince returns what brings a host from version to the one in force, in at most
// the given number of bytes. It reports false if that takes more, or if there
// are no tables in force. A host that is not behind gets an empty update.
func (f *Feed) UpdateSince(version int64, most int) (update Update, ok bool) {
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
		return update, size <= most
	}
	if f.whole == nil {
		change := work.DiffTables(nil, f.tables)
		data, err := pack(&change)
		if err != nil {
			return Update{}, false
		}
		f.whole = data
	}
	update.Changes = [][]byte{f.whole}
	return update, len(f.whole) <= most
}

// The first byte of a packed change tells how the rest is kept.
const (
	packedPlain    = 0
	packedDeflated = 1
)

// deflateFrom is the size in bytes from which a change is worth the processor
// time and the memory that a compressor takes.
const deflateFrom = 4 << 10

func pack(change *work.TablesChange) (data []byte, err error) {
	plain, err := work.EncodeChange(change)
	if err != nil {
		return nil, err
	}
	if len(plain) < deflateFrom {
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

func unpack(data []byte) (change *work.TablesChange, err error) {
	switch {
	case len(data) == 0:
		return nil, errs.New("empty change")
	case data[0] == packedPlain:
		return work.DecodeChange(data[1:])
	case data[0] != packedDeflated:
		return nil, errs.New("change of unknown form %d", data[0])
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data[1:])), updateMost))
	if err != nil {
		return nil, err
	}
	return work.DecodeChange(plain)
}
