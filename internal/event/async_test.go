package event

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stuckWriter blocks like a full pipe until it is released.
type stuckWriter struct {
	mu       sync.Mutex
	released chan struct{}
	data     bytes.Buffer
}

func (w *stuckWriter) Write(p []byte) (n int, err error) {
	<-w.released
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.data.Write(p)
}

// TestFullPipe writes far more lines than are kept while nobody reads: no write
// waits, and a line tells of those that were dropped.
func TestFullPipe(t *testing.T) {
	stuck := &stuckWriter{released: make(chan struct{})}
	writer := NewAsyncWriter(stuck)
	log := NewLogger(writer, "info", "json")
	begin := time.Now()
	for i := range 4 * asyncLines {
		Started.Log(log).Int("line", i).Send()
	}
	assert.Assert(t, time.Since(begin) < 5*time.Second)
	close(stuck.released)
	writer.Close()
	deadline := time.Now().Add(5 * time.Second)
	for {
		stuck.mu.Lock()
		dropped := bytes.Contains(stuck.data.Bytes(), []byte(LogLinesDropped.Message))
		stuck.mu.Unlock()
		if dropped {
			return
		}
		assert.Assert(t, time.Now().Before(deadline), "no line tells of the dropped ones")
		time.Sleep(10 * time.Millisecond)
	}
}
