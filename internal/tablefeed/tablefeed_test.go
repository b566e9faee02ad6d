package tablefeed

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/work"
)

// version returns tables with many queues, as some days have them.
func version(number int64, queues int, keys ...string) *work.Tables {
	t := &work.Tables{
		Version: number, Pools: map[string]work.Pool{"p": {Name: "p"}},
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

func put(t *testing.T, f *Feed, tables *work.Tables, revision int64, asOf time.Duration) {
	t.Helper()
	_, err := f.SetFromStore(tables, revision, asOf)
	assert.NilError(t, err)
}

// TestUpdateFollowsWhatChanged has a withdrawn key among thousands of queues
// cost less than a packet.
func TestUpdateFollowsWhatChanged(t *testing.T) {
	var now time.Duration
	f := newFeed(&now)
	put(t, f, version(7, 3000, "k1", "k2"), 70, 0)
	put(t, f, version(9, 3000, "k2"), 90, 0)
	update, ok := f.UpdateSince(7, 1400)
	assert.Assert(t, ok, "the update takes more")

	behind := newFeed(&now)
	put(t, behind, version(7, 3000, "k1", "k2"), 70, 0)
	applied, err := behind.ApplyUpdate(update, 0)
	assert.NilError(t, err)
	assert.Assert(t, applied)
	tables, revision := behind.Current()
	assert.Equal(t, revision, int64(90))
	_, known := tables.TeamByKey("k1")
	assert.Assert(t, !known)
	assert.Equal(t, len(tables.Queues), 3000)
}

func TestSince(t *testing.T) {
	var now time.Duration
	f := newFeed(&now)
	_, ok := f.UpdateSince(0, 1<<20)
	assert.Assert(t, !ok, "nothing is in force")
	for number := range int64(4) {
		put(t, f, version(number+3, 5, fmt.Sprint(number)), number+30, 0)
	}
	for _, tc := range []struct {
		name    string
		have    int64
		most    int
		changes int
		ok      bool
	}{
		{"the newest", 6, 100, 0, true},
		{"newer than here", 8, 100, 0, true},
		{"one behind", 5, 1 << 20, 1, true},
		{"three behind", 3, 1 << 20, 3, true},
		{"a version that was never here", 4000 - 3999, 1 << 20, 1, true},
		{"too large", 3, 10, 3, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			update, ok := f.UpdateSince(tc.have, tc.most)
			assert.Equal(t, ok, tc.ok)
			assert.Equal(t, len(update.Changes), tc.changes)
		})
	}
}

func TestAge(t *testing.T) {
	now := 10 * time.Second
	f := newFeed(&now)
	put(t, f, version(3, 1), 30, 9*time.Second)
	age := func() time.Duration { d, _ := f.Age(); return d }
	assert.Equal(t, age(), time.Second)
	f.ConfirmLatest(3, 9500*time.Millisecond)
	assert.Equal(t, age(), 500*time.Millisecond)
	f.ConfirmLatest(3, 2*time.Second)
	assert.Equal(t, age(), 500*time.Millisecond, "an older look says nothing")
	f.ConfirmLatest(2, 10*time.Second)
	assert.Equal(t, age(), 500*time.Millisecond, "an older version says nothing")
	f.ConfirmLatest(5, 10*time.Second)
	_, behind := f.Age()
	assert.Assert(t, behind, "a newer version exists")
	now = 20 * time.Second // suspended
	assert.Equal(t, age(), 10500*time.Millisecond)
}

// TestFeedsNeverGoBack exchanges updates between hosts in random order, late and
// doubled, with reads of any age: no host goes back, and all end with the newest.
func TestFeedsNeverGoBack(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 4))
		var now time.Duration
		feeds := make([]*Feed, 4)
		for i := range feeds {
			feeds[i] = newFeed(&now)
		}
		var versions []*work.Tables
		var late []Update
		at := make([]int64, len(feeds))
		for step := range 300 {
			now += time.Millisecond
			if step%20 == 0 {
				number := int64(len(versions)*2 + 3)
				versions = append(versions, version(number, rng.IntN(40)+1, fmt.Sprint(rng.IntN(9))))
			}
			i, j := rng.IntN(len(feeds)), rng.IntN(len(feeds))
			switch rng.IntN(4) {
			case 0:
				tables := versions[rng.IntN(len(versions))] // a copy that lags
				put(t, feeds[i], tables, tables.Version*10, now)
			case 1:
				if update, ok := feeds[j].UpdateSince(at[i], 1<<20); ok {
					late = append(late, update)
				}
			default:
				if len(late) > 0 {
					_, _ = feeds[i].ApplyUpdate(late[rng.IntN(len(late))], now) // one that does not fit is refused
				}
			}
			for k, f := range feeds {
				tables, revision := f.Current()
				if tables == nil {
					continue
				}
				assert.Assert(t, tables.Version >= at[k], "seed %d: went back", seed)
				at[k] = tables.Version
				assert.Equal(t, revision, tables.Version*10, "seed %d: revision of another version", seed)
				same := work.DiffTables(tables, versions[(tables.Version-3)/2])
				assert.Equal(t, len(same.Queues)+len(same.RemovedQueues)+len(same.Teams), 0, "seed %d: version %d is not whole", seed, tables.Version)
			}
		}
		newest := versions[len(versions)-1]
		put(t, feeds[0], newest, newest.Version*10, now)
		for k, f := range feeds {
			update, ok := feeds[0].UpdateSince(at[k], 1<<20)
			assert.Assert(t, ok)
			_, err := f.ApplyUpdate(update, now)
			assert.NilError(t, err, "seed %d", seed)
			tables, _ := f.Current()
			assert.Equal(t, tables.Version, newest.Version)
		}
	}
}

func FuzzTake(f *testing.F) {
	var now time.Duration
	feed := newFeed(&now)
	_, err := feed.SetFromStore(version(3, 2), 30, 0)
	assert.NilError(f, err)
	_, err = feed.SetFromStore(version(4, 3, "k"), 40, 0)
	assert.NilError(f, err)
	update, _ := feed.UpdateSince(3, 1<<20)
	f.Add(update.Changes[0])
	f.Fuzz(func(t *testing.T, data []byte) {
		other := newFeed(&now)
		put(t, other, version(3, 2), 30, 0)
		applied, err := other.ApplyUpdate(Update{Revision: 40, Changes: [][]byte{data}}, 0)
		tables, _ := other.Current()
		assert.Assert(t, applied == (tables.Version > 3), "%v", err)
	})
}
