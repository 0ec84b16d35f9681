package telemetry_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"lupinpond/internal/base/telemetry"
)

// blockedWriter is an io.Writer whose Write blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written strings.Builder
}

func (w *blockedWriter) Write(line []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(line)
}

// TestLossyWriterNeverBlocks guards against a program that blocks while nothing reads its log: Write returns although
// the underlying writer blocks, and dropped lines are counted and reported once lines can be written again.
func TestLossyWriterNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	lossy := telemetry.NewLossyWriter(out)
	for range 5000 {
		if _, err := lossy.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if lossy.Dropped() < 3000 {
		t.Error("only", lossy.Dropped(), "lines dropped, want at least 3000")
	}
	close(out.release)
	lossy.Close(20 * time.Second)
	if _, err := lossy.Write([]byte("too late\n")); err != nil {
		t.Error(err)
	}
	out.mu.Lock()
	defer out.mu.Unlock()
	text := out.written.String()
	if lines := strings.Count(text, "line\n"); int64(lines)+lossy.Dropped() != 5000 {
		t.Errorf("%d lines written and %d dropped, want a sum of 5000", lines, lossy.Dropped())
	}
	if !strings.Contains(text, "log lines dropped") {
		t.Error("the log has no report of dropped lines")
	}
}
