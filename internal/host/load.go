package host

import (
	"context"
	"slices"
	"strings"

	"turmericspread.org/turmericspread/internal/cell"
	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/kvstore"
	"turmericspread.org/turmericspread/internal/work"
)

// itemStream reads the items with one prefix in the order of their keys and holds a few
// pages at a time.
type itemStream struct {
	pages    chan []kvstore.Item
	page     []kvstore.Item // rest of the current page
	revision int64          // set once pages is closed
	err      error          // set once pages is closed
}

// streamItems starts to read the items with a prefix. It ends when ctx does.
func (h *Host) streamItems(ctx context.Context, prefix string, progressed func()) *itemStream {
	s := &itemStream{pages: make(chan []kvstore.Item, 1)}
	h.spawn(func() {
		defer close(s.pages)
		s.revision, s.err = h.store.ListPages(ctx, prefix, func(page []kvstore.Item) error {
			progressed()
			slices.SortFunc(page, func(a, b kvstore.Item) int { return strings.Compare(a.Key, b.Key) })
			select {
			case s.pages <- page:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
	})
	return s
}

// peek returns the next item, or nil after the last one.
func (s *itemStream) peek() *kvstore.Item {
	for len(s.page) == 0 {
		page, open := <-s.pages
		if !open {
			return nil
		}
		s.page = page
	}
	return &s.page[0]
}

// next returns the next item and moves on, or returns nil after the last one.
func (s *itemStream) next() (item *kvstore.Item) {
	if item = s.peek(); item != nil {
		s.page = s.page[1:]
	}
	return item
}

// loadJobs reads all jobs with their cancellations and their progress, and the revision
// from which a watch misses no job. Malformed entries are logged and skipped.
//
// The store may hold far more jobs that have ended than fit into memory with all their
// details, for example after the store has refused deletions. So both listings are read
// side by side, page by page, and the details of ended jobs are dropped.
func (h *Host) loadJobs(ctx context.Context, progressed func()) (stored []cell.StoredJob, watchFrom int64, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	jobs, progress := h.streamItems(ctx, jobPrefix, progressed), h.streamItems(ctx, progressPrefix, progressed)
	for item := jobs.next(); item != nil; item = jobs.next() {
		id, cancelled := strings.CutSuffix(strings.TrimPrefix(item.Key, jobPrefix), cancelSuffix)
		if cancelled {
			// The cancellation follows its job: its key is that of the job with a suffix.
			if last := len(stored) - 1; last >= 0 && stored[last].Job.ID == id {
				stored[last].Cancelled = true
			}
			continue
		}
		job, err := work.DecodeJob(item.Value)
		if err != nil {
			event.EntryMalformed.Log(h.Log).Str("key", item.Key).Err(err).Send()
			continue
		}
		entry := cell.StoredJob{Job: job}
		entry.Progress, entry.Revision = h.progressOf(progress, id)
		entry.DropDetails()
		stored = append(stored, entry)
	}
	if jobs.err != nil {
		return nil, 0, jobs.err
	}
	for progress.next() != nil {
		// Progress without a job is left if the job was deleted between the two listings.
	}
	return stored, jobs.revision, progress.err
}

// progressOf returns the progress of a job from a stream that has passed those of all
// smaller IDs, or nil if there is none.
func (h *Host) progressOf(stream *itemStream, id string) (p *work.Progress, revision int64) {
	key := progressPrefix + id
	for item := stream.peek(); item != nil && item.Key <= key; item = stream.peek() {
		stream.next()
		if item.Key != key {
			continue
		}
		p, err := work.DecodeProgress(item.Value)
		if err != nil {
			event.EntryMalformed.Log(h.Log).Str("key", item.Key).Err(err).Send()
			return nil, 0
		}
		return p, item.Revision
	}
	return nil, 0
}
