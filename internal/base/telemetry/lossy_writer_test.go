package telemetry_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"lupinpond/internal/base/telemetry"
)

// blockedWriter is a reader that stands still until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written strings.Builder
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.Write(p)
}

// Who logs never waits for who reads the log; what found no room is counted, and told once there is room again.
func TestLossyNeverWaits(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	l := telemetry.NewLossyWriter(out)
	for range 5000 {
		if _, err := l.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if l.Dropped() < 3000 {
		t.Error("only", l.Dropped(), "lines are dropped")
	}
	close(out.release)
	l.Close(20 * time.Second)
	if _, err := l.Write([]byte("too late\n")); err != nil {
		t.Error(err)
	}
	out.mu.Lock()
	defer out.mu.Unlock()
	text := out.written.String()
	if n := strings.Count(text, "line\n"); int64(n)+l.Dropped() != 5000 {
		t.Errorf("%d lines written and %d dropped of 5000", n, l.Dropped())
	}
	if !strings.Contains(text, "log lines dropped") {
		t.Error("it is not told that lines were dropped")
	}
}
