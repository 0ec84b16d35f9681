package resp

import (
	"context"
	"net"
	"time"
)

// BlockDials lets connections come up only once open is closed.
func (p *Pool) BlockDials(open chan struct{}) {
	dial := p.dial
	p.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		<-open
		return dial(ctx, network, addr)
	}
}

// SetSilentFor makes it so long ago that something came from the worker.
func (w *Worker) SetSilentFor(silence time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastReceived = time.Now().Add(-silence)
}

// AwaitOpenConns returns when the pool has no more than so many connections.
func (p *Pool) AwaitOpenConns(limit int64) {
	for p.openConns.Load() > limit {
		time.Sleep(time.Millisecond)
	}
}
