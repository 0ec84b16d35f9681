package resp

import (
	"context"
	"net"
	"time"
)

// Hold has connections come up only once open is closed.
func (p *Pool) Hold(open chan struct{}) {
	dial := p.dial
	p.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		<-open
		return dial(ctx, network, addr)
	}
}

// Quiet has the worker last heard from so long ago.
func (w *Worker) Quiet(ago time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heard = time.Now().Add(-ago)
}

// Settled returns when the pool has no more than so many connections.
func (p *Pool) Settled(most int64) {
	for p.open.Load() > most {
		time.Sleep(time.Millisecond)
	}
}
