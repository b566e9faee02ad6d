package host

import (
	"bytes"
	"context"
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"turmericspread.org/turmericspread/internal/cell"
)

// ServeMetrics registers the metrics endpoint.
func (h *Host) ServeMetrics(srv *server.Hertz) {
	srv.GET("/metrics", func(ctx context.Context, c *app.RequestContext) {
		var page bytes.Buffer
		h.stats.set.WritePrometheus(&page)
		h.writeTables(&page)
		h.writeOwner(ctx, &page)
		h.peers.Counters.WriteMetrics(&page, "hosts")
		for _, write := range h.MetricsWriters {
			write(&page)
		}
		metrics.WriteProcessMetrics(&page)
		c.Data(200, "text/plain; charset=utf-8", page.Bytes())
	})
}

// writeTables writes the current version of the configuration and the time
// since it was last confirmed to be the latest.
func (h *Host) writeTables(page *bytes.Buffer) {
	tables := h.Tables()
	if tables == nil {
		return
	}
	fmt.Fprintf(page, "turmericspread_config_version %d\n", tables.Version)
	fmt.Fprintf(page, "turmericspread_config_age_seconds %.3f\n", h.TablesAge().Seconds())
}

// writeOwner writes the metrics of the cell if this host owns it.
func (h *Host) writeOwner(ctx context.Context, page *bytes.Buffer) {
	var counters cell.Counters
	var owner bool
	var jobs, open, workers, usable, evacuatedPlaces, evacuatedRuns, wavesOpen, upkeepLeft, upkeepDown int
	var epoch, accepted, reserved, limit int64
	err := h.loop.Call(ctx, func() {
		if h.cellOwner == nil {
			return
		}
		owner, epoch, counters = true, h.cellOwner.Epoch, h.cellOwner.Counters
		jobs, open = h.cellOwner.Jobs()
		accepted, reserved = h.cellOwner.Backlog()
		limit = h.cellOwner.BacklogLimit()
		workers, usable = h.cellOwner.Workers()
		evacuatedPlaces, evacuatedRuns = h.cellOwner.Evacuated()
		wavesOpen, upkeepLeft, upkeepDown = h.cellOwner.Upkeep()
	})
	if err != nil {
		h.Log.Warn().Err(err).Msg("cannot read the metrics of the cell")
		return
	}
	gauge := func(name string, value int64) { fmt.Fprintf(page, "turmericspread_%s %d\n", name, value) }
	if !owner {
		gauge("owner", 0)
		return
	}
	gauge("owner", 1)
	gauge("epoch", epoch)
	gauge("jobs", int64(jobs))
	gauge("jobs_open", int64(open))
	gauge("jobs_bytes", accepted)
	gauge("jobs_reserved_bytes", reserved)
	gauge("jobs_bytes_limit", limit)
	gauge("workers", int64(workers))
	gauge("workers_usable", int64(usable))
	gauge("evacuated_data_centres", int64(evacuatedPlaces))
	gauge("evacuated_data_centres_runs", int64(evacuatedRuns))
	gauge("waves_open", int64(wavesOpen))
	gauge("upkeep_machines_left", int64(upkeepLeft))
	gauge("upkeep_machines_down", int64(upkeepDown))
	gauge("upkeep_calls_total", counters.UpkeepCalls)
	gauge("upkeeps_begun_total", counters.UpkeepsBegun)
	gauge("upkeep_refused_total", counters.UpkeepRefused)
	gauge("upkeep_unknown_total", counters.UpkeepUnknown)
	gauge("starts_total", counters.Starts)
	gauge("starts_refused_total", counters.StartsRefused)
	gauge("starts_unknown_total", counters.StartsUnknown)
	gauge("stops_total", counters.Stops)
	gauge("holds_total", counters.Renewals)
	gauge("holds_missed_total", counters.RenewalsMissed)
	gauge("runs_done_total", counters.RunsDone)
	gauge("runs_failed_total", counters.RunsFailed)
	gauge("runs_ended_otherwise_total", counters.RunsEndedOtherwise)
	gauge("runs_lost_total", counters.RunsLost)
	gauge("runs_preempted_total", counters.Preempted)
	gauge("runs_moved_total", counters.RunsMoved)
	gauge("stragglers_total", counters.Stragglers)
	gauge("placed_on_slower_total", counters.PlacedOnSlower)
	gauge("placed_on_faster_total", counters.PlacedOnFaster)
	gauge("placed_beyond_time_total", counters.PlacedBeyondTime)
	gauge("copies_on_faster_total", counters.FasterCopies)
	gauge("moves_to_faster_total", counters.FasterMoves)
	gauge("speeds_saved_total", counters.SpeedsSaved)
	gauge("record_writes_total", counters.ProgressWrites)
	gauge("record_writes_failed_total", counters.ProgressWritesFailed)
	gauge("passes_total", counters.Passes)
	gauge("rooms_looked_at_total", counters.CandidatesChecked)
	gauge("advice_asked_total", counters.AdviceQueries)
	gauge("advice_failed_total", counters.AdviceQueriesFailed)
}
