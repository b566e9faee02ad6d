package tablefeed

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/work"
)

// newTables returns tables of a version with the given number of queues.
func newTables(version int64, queues int, keys ...string) *work.Tables {
	t := &work.Tables{
		Version: version, Pools: map[string]work.Pool{"p": {Name: "p"}},
		Teams: map[string]work.Team{"t": {Name: "t", Keys: keys}},
	}
	for i := range queues {
		t.Queues = append(t.Queues, work.Queue{Name: fmt.Sprint("q", i), Host: "a.example", Prefix: fmt.Sprintf("/q%d/", i), Service: "p"})
	}
	t.BuildIndexes()
	return t
}

func newFeed(now *time.Duration) *Feed {
	f := New()
	f.Now = func() time.Duration { return *now }
	return f
}

func setTables(t *testing.T, f *Feed, tables *work.Tables, revision int64, asOf time.Duration) {
	t.Helper()
	_, err := f.SetFromStore(tables, revision, asOf)
	assert.NilError(t, err)
}

// TestUpdateSizeFollowsChange checks that revoking a key in tables with thousands of
// queues gives an update smaller than a network packet.
func TestUpdateSizeFollowsChange(t *testing.T) {
	var now time.Duration
	f := newFeed(&now)
	setTables(t, f, newTables(7, 3000, "k1", "k2"), 70, 0)
	setTables(t, f, newTables(9, 3000, "k2"), 90, 0)
	update, ok := f.UpdateSince(7, 1400)
	assert.Assert(t, ok, "the update is larger than a packet")

	behind := newFeed(&now)
	setTables(t, behind, newTables(7, 3000, "k1", "k2"), 70, 0)
	applied, err := behind.ApplyUpdate(update, 0)
	assert.NilError(t, err)
	assert.Assert(t, applied)
	tables, revision := behind.Current()
	assert.Equal(t, revision, int64(90))
	_, known := tables.TeamByKey("k1")
	assert.Assert(t, !known)
	assert.Equal(t, len(tables.Queues), 3000)
}

// TestSince checks which changes UpdateSince returns for a host that is some
// versions behind.
func TestSince(t *testing.T) {
	var now time.Duration
	f := newFeed(&now)
	_, ok := f.UpdateSince(0, 1<<20)
	assert.Assert(t, !ok, "there are no tables yet")
	for number := range int64(4) {
		setTables(t, f, newTables(number+3, 5, fmt.Sprint(number)), number+30, 0)
	}
	for _, tc := range []struct {
		name    string
		have    int64
		limit   int
		changes int
		ok      bool
	}{
		{"the latest", 6, 100, 0, true},
		{"newer than the feed", 8, 100, 0, true},
		{"one behind", 5, 1 << 20, 1, true},
		{"three behind", 3, 1 << 20, 3, true},
		{"a version that is not in the log", 4000 - 3999, 1 << 20, 1, true},
		{"larger than the limit", 3, 10, 3, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			update, ok := f.UpdateSince(tc.have, tc.limit)
			assert.Equal(t, ok, tc.ok)
			assert.Equal(t, len(update.Changes), tc.changes)
		})
	}
}

// TestAge checks that only a later confirmation of the current version reduces the
// age, and that the age includes the time during which the machine was suspended.
func TestAge(t *testing.T) {
	now := 10 * time.Second
	f := newFeed(&now)
	setTables(t, f, newTables(3, 1), 30, 9*time.Second)
	age := func() time.Duration { d, _ := f.Age(); return d }
	assert.Equal(t, age(), time.Second)
	f.ConfirmLatest(3, 9500*time.Millisecond)
	assert.Equal(t, age(), 500*time.Millisecond)
	f.ConfirmLatest(3, 2*time.Second)
	assert.Equal(t, age(), 500*time.Millisecond, "an older confirmation changes nothing")
	f.ConfirmLatest(2, 10*time.Second)
	assert.Equal(t, age(), 500*time.Millisecond, "the confirmation of an older version changes nothing")
	f.ConfirmLatest(5, 10*time.Second)
	_, behind := f.Age()
	assert.Assert(t, behind, "a newer version exists")
	now = 20 * time.Second // the machine was suspended
	assert.Equal(t, age(), 10500*time.Millisecond)
}

// TestFeedsNeverGoBack exchanges delayed and duplicated updates between feeds in
// random order, mixed with stale reads of the store: no feed may go back to an older
// version, and all must reach the latest one.
func TestFeedsNeverGoBack(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 4))
		var now time.Duration
		feeds := make([]*Feed, 4)
		for i := range feeds {
			feeds[i] = newFeed(&now)
		}
		var versions []*work.Tables
		var delayed []Update
		at := make([]int64, len(feeds))
		for step := range 300 {
			now += time.Millisecond
			if step%20 == 0 {
				number := int64(len(versions)*2 + 3)
				versions = append(versions, newTables(number, rng.IntN(40)+1, fmt.Sprint(rng.IntN(9))))
			}
			i, j := rng.IntN(len(feeds)), rng.IntN(len(feeds))
			switch rng.IntN(4) {
			case 0:
				tables := versions[rng.IntN(len(versions))] // a stale read
				setTables(t, feeds[i], tables, tables.Version*10, now)
			case 1:
				if update, ok := feeds[j].UpdateSince(at[i], 1<<20); ok {
					delayed = append(delayed, update)
				}
			default:
				if len(delayed) > 0 {
					_, _ = feeds[i].ApplyUpdate(delayed[rng.IntN(len(delayed))], now) // an update that does not apply is rejected
				}
			}
			for k, f := range feeds {
				tables, revision := f.Current()
				if tables == nil {
					continue
				}
				assert.Assert(t, tables.Version >= at[k], "seed %d: feed went back to an older version", seed)
				at[k] = tables.Version
				assert.Equal(t, revision, tables.Version*10, "seed %d: revision belongs to another version", seed)
				diff := work.DiffTables(tables, versions[(tables.Version-3)/2])
				assert.Equal(t, len(diff.Queues)+len(diff.RemovedQueues)+len(diff.Teams), 0, "seed %d: version %d is incomplete", seed, tables.Version)
			}
		}
		latest := versions[len(versions)-1]
		setTables(t, feeds[0], latest, latest.Version*10, now)
		for k, f := range feeds {
			update, ok := feeds[0].UpdateSince(at[k], 1<<20)
			assert.Assert(t, ok)
			_, err := f.ApplyUpdate(update, now)
			assert.NilError(t, err, "seed %d", seed)
			tables, _ := f.Current()
			assert.Equal(t, tables.Version, latest.Version)
		}
	}
}

// FuzzApplyUpdate applies arbitrary updates. The version must increase if and only
// if the update is reported as applied.
func FuzzApplyUpdate(f *testing.F) {
	var now time.Duration
	feed := newFeed(&now)
	_, err := feed.SetFromStore(newTables(3, 2), 30, 0)
	assert.NilError(f, err)
	_, err = feed.SetFromStore(newTables(4, 3, "k"), 40, 0)
	assert.NilError(f, err)
	update, _ := feed.UpdateSince(3, 1<<20)
	f.Add(update.Changes[0])
	f.Fuzz(func(t *testing.T, data []byte) {
		other := newFeed(&now)
		setTables(t, other, newTables(3, 2), 30, 0)
		applied, err := other.ApplyUpdate(Update{Revision: 40, Changes: [][]byte{data}}, 0)
		tables, _ := other.Current()
		assert.Assert(t, applied == (tables.Version > 3), "%v", err)
	})
}
