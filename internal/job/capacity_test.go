package job

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// BenchmarkFootprint measures the heap and the stored bytes per task, and the
// bytes that each rack summary adds to a heartbeat, for several queue sizes.
func BenchmarkFootprint(b *testing.B) {
	for _, tasks := range []int{1000, 5000, 20000} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			now := time.Unix(1000, 0)
			f := newFakeRacks(50, 8)
			q := newTestQueue(&now, f, 1<<30)
			accepted := false
			for i := range tasks / 100 {
				submit(b, q, now, fmt.Sprintf("j%d", i), 100, &accepted)
			}
			for range 20 {
				f.step(q, &now)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			stored := 0
			for _, j := range q.jobs {
				data, err := json.Marshal(j.snapshot())
				if err != nil {
					b.Fatal(err)
				}
				stored += len(data)
			}
			summaries, err := cbor.Marshal(f.racks)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(tasks), "heap-B/task")
			b.ReportMetric(float64(stored)/float64(len(q.jobs)), "stored-B/job")
			b.ReportMetric(float64(len(summaries))/float64(len(f.racks)), "summary-B/rack")
			runtime.KeepAlive(q)
		})
	}
}
