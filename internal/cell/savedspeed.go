package cell

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/speed"
)

// savedSpeeds is the record of the learned speeds that a successor reads.
type savedSpeeds struct {
	_       struct{} `cbor:",toarray"`
	Version int
	SavedAt int64 // seconds since 1970
	Pools   []savedPool
}

// savedPool is what is known of a pool.
type savedPool struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Speeds  speed.Saved
	Workers []savedWorker
}

// savedWorker is the own factor of one incarnation of a worker.
type savedWorker struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Incarnation int64
	Factor      speed.SavedFactor
}

const (
	// savedVersion is the version of the record. Records of other versions are ignored.
	savedVersion = 1
	// maxSavedAgo bounds the time since the record was saved. The clocks of hosts may differ.
	maxSavedAgo = time.Hour
	// maxSavedWorkers bounds the workers in the record, to about 30 kB.
	maxSavedWorkers = 1000
	// maxSavedRecord is the size beyond which a record is not decoded.
	maxSavedRecord = 1 << 20
	// savedChange is the change of a factor that is notable, in units of a saved logarithm. A
	// change within one standard deviation is none.
	savedChange = speed.SavedUnits / 10
)

// saveSpeeds returns the record of what is learned now.
func (o *Owner) saveSpeeds() (record savedSpeeds) {
	now := o.Now()
	record = savedSpeeds{Version: savedVersion, SavedAt: int64(o.WallClock() / time.Second)}
	index := map[string]int{}
	for name, p := range o.speeds {
		record.Pools = append(record.Pools, savedPool{Name: name, Speeds: p.Save(now)})
	}
	slices.SortFunc(record.Pools, func(a, b savedPool) int { return strings.Compare(a.Name, b.Name) })
	for i := range record.Pools {
		index[record.Pools[i].Name] = i
	}
	count := 0
	for _, n := range o.sortedNodes {
		if n.speed == nil || n.incarnation == 0 || count == maxSavedWorkers {
			continue
		}
		if f, ok := n.speed.Save(now); ok {
			p := &record.Pools[index[n.speedPool]]
			p.Workers = append(p.Workers, savedWorker{ID: n.worker.ID, Incarnation: n.incarnation, Factor: f})
			count++
		}
	}
	record.Pools = slices.DeleteFunc(record.Pools, func(p savedPool) bool {
		return len(p.Speeds.Kinds)+len(p.Speeds.Queues)+len(p.Workers) == 0
	})
	return record
}

// factors returns the factors of the record by what they belong to.
func (r *savedSpeeds) factors() (list map[savedKey]speed.SavedFactor) {
	list = map[savedKey]speed.SavedFactor{}
	for i := range r.Pools {
		p := &r.Pools[i]
		for _, k := range p.Speeds.Kinds {
			list[savedKey{pool: p.Name, kind: k.Name}] = k.Factor
		}
		for j := range p.Speeds.Queues {
			q := &p.Speeds.Queues[j]
			list[savedKey{pool: p.Name, queue: q.Name}] = q.Bias
			for _, t := range q.Teams {
				list[savedKey{pool: p.Name, queue: q.Name, team: t.Name}] = t.Factor
			}
		}
		for _, w := range p.Workers {
			list[savedKey{pool: p.Name, worker: w.ID, incarnation: w.Incarnation}] = w.Factor
		}
	}
	return list
}

// savedKey says what a saved factor belongs to.
type savedKey struct {
	pool, kind, queue, team, worker string
	incarnation                     int64
}

// differs reports whether the record differs notably from an earlier one. What is missing in
// it does not count: it is forgotten by a successor, or is the factor of a worker that is gone.
func (r *savedSpeeds) differs(before *savedSpeeds) bool {
	known := before.factors()
	for key, f := range r.factors() {
		k, ok := known[key]
		change := math.Abs(float64(f.Mean - k.Mean))
		if !ok || change >= savedChange && change >= float64(k.Deviation) || 2*f.Deviation < k.Deviation {
			return true
		}
	}
	return false
}

// SpeedsToSave returns the record of the learned speeds if it differs notably from the stored
// one, else nil. Call stored on the control goroutine when the record is in the store.
func (o *Owner) SpeedsToSave() (data []byte, stored func()) {
	record := o.saveSpeeds()
	if !record.differs(&o.storedSpeeds) {
		return nil, nil
	}
	data, err := cbor.Marshal(&record)
	if err != nil {
		event.CellSpeedsUnusable.Log(o.Log).Err(err).Send()
		return nil, nil
	}
	return data, func() { o.storedSpeeds = record; o.Counters.SpeedsSaved++ }
}

// RestoreSpeeds applies the learned speeds that a former owner has stored. A record that
// cannot be used means that nothing is known. Call it before the workers are set.
func (o *Owner) RestoreSpeeds(data []byte) {
	if len(data) == 0 {
		return
	}
	record, err := decodeSpeeds(data)
	if err != nil {
		event.CellSpeedsUnusable.Log(o.Log).Int("bytes", len(data)).Err(err).Send()
		return
	}
	ago := min(max(o.WallClock()-time.Duration(record.SavedAt)*time.Second, 0), maxSavedAgo)
	kinds, queues := 0, 0
	for i := range record.Pools {
		p := &record.Pools[i]
		o.speeds[p.Name] = &poolSpeed{Model: speed.Restored(o.Now(), ago, &p.Speeds), logged: map[string]float64{}}
		for _, w := range p.Workers {
			o.restoredSpeeds[w.ID] = restoredSpeed{savedWorker: w, pool: p.Name, savedAt: o.Now() - ago}
		}
		kinds, queues = kinds+len(p.Speeds.Kinds), queues+len(p.Speeds.Queues)
	}
	o.storedSpeeds = record
	event.CellSpeedsRestored.Log(o.Log).Int("kinds", kinds).Int("queues", queues).Int("workers", len(o.restoredSpeeds)).
		Dur("age", ago).Int("bytes", len(data)).Send()
}

// decodeSpeeds decodes a record and checks its numbers.
func decodeSpeeds(data []byte) (record savedSpeeds, err error) {
	defer func() {
		if err != nil {
			record, err = savedSpeeds{}, speed.ErrSaved.Wrap(err)
		}
	}()
	if len(data) > maxSavedRecord {
		return record, errs.New("%d bytes", len(data))
	}
	if err := cbor.Unmarshal(data, &record); err != nil {
		return record, err
	}
	if record.Version != savedVersion {
		return record, errs.New("version %d", record.Version)
	}
	for i := range record.Pools {
		p := &record.Pools[i]
		if err := p.Speeds.Check(); err != nil {
			return record, err
		}
		for _, w := range p.Workers {
			if err := w.Factor.CheckWorker(); err != nil {
				return record, err
			}
		}
	}
	return record, nil
}

// restoredSpeed is the factor of a worker that is not listed yet.
type restoredSpeed struct {
	savedWorker
	pool    string
	savedAt time.Duration // local time
}

// restoreSpeed applies the factor that was restored for the worker's incarnation.
func (o *Owner) restoreSpeed(n *node) {
	restored, ok := o.restoredSpeeds[n.worker.ID]
	if !ok || restored.Incarnation != n.worker.Born || restored.pool != n.worker.Pool || n.incarnation != 0 && n.incarnation != n.worker.Born {
		return
	}
	delete(o.restoredSpeeds, n.worker.ID)
	n.speed.Restore(o.Now(), o.Now()-restored.savedAt, restored.Factor)
}
