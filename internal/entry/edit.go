package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/config"
	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/hostlist"
	"turmericspread.org/turmericspread/internal/httpserve"
	"turmericspread.org/turmericspread/internal/peer"
	"turmericspread.org/turmericspread/internal/store"
)

// raceError reports that another edit has changed the tables since the version
// that an edit is based on.
type raceError struct {
	Expected int64
	Current  int64
	Diff     []string
}

// Error implements error.
func (e *raceError) Error() string {
	return fmt.Sprintf("the tables changed from version %d to %d: %s", e.Expected, e.Current, strings.Join(e.Diff, "; "))
}

// editError reports why an edit is not valid.
type editError struct{ reason string }

// Error implements error.
func (e *editError) Error() string { return e.reason }

// editTimeout bounds one edit of the tables, including all of its attempts.
const editTimeout = 5 * time.Second

// errOutcomeUnknown means that an edit may or may not have taken effect.
var errOutcomeUnknown = errs.Class("the edit may have been accepted")

// Edit changes the tables: it reads them from the store, applies change, checks
// the result, writes it on condition of the revision read and reads it back.
// The edit has been accepted if Edit returns no error.
func (e *Entry) Edit(ctx context.Context, change func(tables *config.Tables) error) (version int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	for {
		entry, tables, err := e.readTables(ctx)
		if err != nil {
			return 0, err
		}
		if err := change(tables); err != nil {
			return 0, err
		}
		editID := newID()
		tables.Stamp(editID)
		if err := tables.Check(e.services(ctx)); err != nil {
			return 0, err
		}
		value, err := json.Marshal(tables)
		if err != nil {
			return 0, err
		}
		if len(value) > store.MaxValueBytes {
			return 0, &editError{fmt.Sprintf("the tables would take %d bytes, at most %d are possible", len(value), store.MaxValueBytes)}
		}
		_, err = e.store.Put(ctx, configKey, value, entry.Revision)
		accepted, err := e.confirmEdit(ctx, editID, value, entry.Revision, err)
		if err != nil {
			return 0, err
		}
		if accepted {
			event.ConfigAccepted.Log(e.Log).Int64("version", tables.Version).Send()
			e.loop.Post(func() { e.activateTables(tables) })
			return tables.Version, nil
		}
	}
}

// readTables reads the tables from the store; entry has their revision.
func (e *Entry) readTables(ctx context.Context) (entry store.Entry, tables *config.Tables, err error) {
	entry, err = e.store.Get(ctx, configKey)
	if err != nil {
		return entry, nil, err
	}
	tables = config.New()
	if len(entry.Value) > 0 {
		err = json.Unmarshal(entry.Value, tables)
	}
	return entry, tables, err
}

// confirmEdit reads the tables back until it is certain whether an edit took
// effect. While the key still has the revision that the write expected, the
// write may still arrive, so it is sent again. Edits are distinguished by their
// IDs, because two operators may write identical rows.
func (e *Entry) confirmEdit(ctx context.Context, editID string, value []byte, revision int64, putErr error) (accepted bool, err error) {
	for {
		entry, tables, err := e.readTables(ctx)
		switch {
		case err == nil && tables.Has(editID):
			return true, nil
		case err == nil && entry.Revision > revision:
			// Other edits followed. If the write of this edit was confirmed, it
			// preceded them and its ID is no longer listed; otherwise it was
			// not accepted.
			return putErr == nil, nil
		case err == nil:
			_, putErr = e.store.Put(ctx, configKey, value, revision)
		default:
			sleep(ctx, storeRetryInterval)
		}
		if ctx.Err() != nil {
			return false, errOutcomeUnknown.Wrap(ctx.Err())
		}
	}
}

// services lists the services in the host list; nil if the list has not been read.
func (e *Entry) services(ctx context.Context) (services []string) {
	_ = e.loop.Call(ctx, func() {
		seen := map[string]bool{}
		for _, host := range e.hostList {
			if host.Kind == hostlist.KindMinion && !seen[host.Service] {
				seen[host.Service] = true
				services = append(services, host.Service)
			}
		}
	})
	return services
}

// respondEdit responds to an operator with the outcome of an edit.
func respondEdit(c *app.RequestContext, accepted any, err error) {
	var race *raceError
	var refused *editError
	var check *config.CheckError
	switch {
	case err == nil:
		httpserve.JSON(c, 200, accepted)
	case errors.As(err, &race):
		reject(c, 409, "race", race.Error())
	case errors.As(err, &refused), errors.As(err, &check), config.Error.Has(err):
		reject(c, 400, "bad-request", err.Error())
	case errOutcomeUnknown.Has(err):
		respondUnknown(c, 504, err.Error(), "")
	default:
		reject(c, 503, "store-down", err.Error())
	}
}

// newID returns a random ID in hexadecimal.
func newID() string {
	const idBytes = 8
	buf := make([]byte, idBytes)
	_, _ = rand.Read(buf)
	return hex.EncodeToString(buf)
}

// unsent reports whether a call failed before the request was sent.
func unsent(err error) bool { return peer.ErrUnreachable.Has(err) }
