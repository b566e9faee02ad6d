package cell

import (
	"fmt"
	"testing"
	"time"

	"turmericspread.org/turmericspread/internal/work"
)

// BenchmarkPass measures one scheduling pass over a backlog that finds no room.
func BenchmarkPass(b *testing.B) {
	for _, size := range []struct{ workers, jobs int }{{48, 200}, {350, 1000}, {3800, 3000}} {
		b.Run(fmt.Sprintf("workers=%d/jobs=%d", size.workers, size.jobs), func(b *testing.B) {
			s := newSim(&testing.T{}, 1, size.workers)
			for i := range s.tables.Queues {
				s.tables.Queues[i].Advice = &work.Advice{Decide: 20 * time.Millisecond, Valid: time.Second}
			}
			s.claim()
			for i := range size.jobs {
				s.submit(fmt.Sprintf("j%d", i), tasksOf(6, time.Second))
			}
			s.run(500 * time.Millisecond)
			b.ResetTimer()
			for range b.N {
				s.owner.schedule(s.now)
			}
		})
	}
}
