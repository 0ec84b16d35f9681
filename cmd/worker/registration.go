package main

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"lupinpond/internal/artifact/distribution"
	"lupinpond/internal/registry"
)

// renewalsPerLease is how often a lease is renewed before it would expire.
const renewalsPerLease = 3

// peerList has the workers that serve chunks, as the registry last listed them.
type peerList struct {
	peers atomic.Pointer[[]distribution.Peer]
}

// newPeerList makes a list without peers.
func newPeerList() *peerList {
	list := &peerList{}
	list.peers.Store(&[]distribution.Peer{})
	return list
}

// current is the list as it is; it is not to be changed.
func (l *peerList) current() []distribution.Peer { return *l.peers.Load() }

// set takes the peers from the registry's entries.
func (l *peerList) set(entries []registry.Entry) {
	var peers []distribution.Peer
	for _, entry := range entries {
		if entry.ChunkAddr != "" && entry.State == registry.InService {
			peers = append(peers, distribution.Peer{Name: entry.Name, Addr: entry.ChunkAddr})
		}
	}
	l.peers.Store(&peers)
}

// registryEntry is the worker's entry while it serves.
func (c *serveCmd) registryEntry(address, chunkAddress net.Addr) registry.Entry {
	return registry.Entry{
		Name:      c.Name,
		Addr:      address.String(),
		Zone:      c.Zone,
		Cell:      c.Cell,
		Kind:      c.Kind,
		Cores:     c.Cores,
		State:     registry.InService,
		Started:   time.Now(),
		ChunkAddr: chunkAddress.String(),
	}
}

// maintainRegistration keeps the worker registered until ctx ends, then registers it as draining. With each renewal it
// learns which other workers serve chunks. Without a registry it waits for ctx.
func (c *serveCmd) maintainRegistration(
	ctx context.Context, entry registry.Entry, peers *peerList, log *slog.Logger,
) {
	if c.Registry == "" {
		<-ctx.Done()
		return
	}
	client := registry.Client{BaseURL: c.Registry, HTTP: &http.Client{Timeout: c.Lease}}
	renew := func() {
		ctx := context.WithoutCancel(ctx) // the last renewal says that the worker is draining
		if err := client.Register(ctx, entry, c.Lease); err != nil {
			log.Warn("worker registration failed", "err", err)
		}
		entries, err := client.Workers(ctx)
		if err != nil {
			return // the peers known before go on being asked
		}
		peers.set(entries)
	}
	ticker := time.NewTicker(c.Lease / renewalsPerLease)
	defer ticker.Stop()
	for {
		renew()
		select {
		case <-ctx.Done():
			entry.State = registry.Draining
			renew()
			return
		case <-ticker.C:
		}
	}
}
