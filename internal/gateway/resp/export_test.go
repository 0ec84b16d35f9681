package resp

import (
	"context"
	"net"
	"time"
)

// BlockDials has connections come up only once open is closed.
func (p *Pool) BlockDials(open chan struct{}) {
	dial := p.dial
	p.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		<-open
		return dial(ctx, network, addr)
	}
}

// SetSilentFor has the worker last heard from so long ago.
func (w *Worker) SetSilentFor(ago time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastReceived = time.Now().Add(-ago)
}

// AwaitOpenConns returns when the pool has no more than so many connections.
func (p *Pool) AwaitOpenConns(most int64) {
	for p.openConns.Load() > most {
		time.Sleep(time.Millisecond)
	}
}
