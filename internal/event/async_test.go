package event

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockingWriter blocks like a full pipe until released is closed.
type blockingWriter struct {
	mu       sync.Mutex
	released chan struct{}
	data     bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (n int, err error) {
	<-w.released
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.data.Write(p)
}

// TestFullPipe writes four times as many lines as are buffered while the reader
// is blocked: no write may wait, and a line must report the dropped lines.
func TestFullPipe(t *testing.T) {
	blocked := &blockingWriter{released: make(chan struct{})}
	writer := NewAsyncWriter(blocked)
	log := NewLogger(writer, "info", "json")
	start := time.Now()
	for i := range 4 * asyncBufferLines {
		Started.Log(log).Int("line", i).Send()
	}
	assert.Assert(t, time.Since(start) < 5*time.Second)
	close(blocked.released)
	writer.Close()
	deadline := time.Now().Add(5 * time.Second)
	for {
		blocked.mu.Lock()
		dropped := bytes.Contains(blocked.data.Bytes(), []byte(LogLinesDropped.Message))
		blocked.mu.Unlock()
		if dropped {
			return
		}
		assert.Assert(t, time.Now().Before(deadline), "no line reports the dropped lines")
		time.Sleep(10 * time.Millisecond)
	}
}
