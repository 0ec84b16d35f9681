package resp

import (
	"context"
	"net"
	"time"
)

// BlockDials delays the establishment of all new connections until open is closed.
func (p *Pool) BlockDials(open chan struct{}) {
	dial := p.dial
	p.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		<-open
		return dial(ctx, network, addr)
	}
}

// SetUnresponsiveFor sets the time since data was last received from the worker.
func (w *Worker) SetUnresponsiveFor(duration time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastReceived = time.Now().Add(-duration)
}

// AwaitOpenConns waits until the pool has at most limit connections.
func (p *Pool) AwaitOpenConns(limit int64) {
	for p.openConns.Load() > limit {
		time.Sleep(time.Millisecond)
	}
}
