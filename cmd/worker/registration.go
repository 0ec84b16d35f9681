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

// renewalsPerLease is the number of renewals of the registration during one lease.
const renewalsPerLease = 3

// peerList holds the workers that serve chunks, from the latest list of the registry. It may be used concurrently.
type peerList struct {
	peers atomic.Pointer[[]distribution.Peer]
}

// newPeerList returns an empty list.
func newPeerList() *peerList {
	list := &peerList{}
	list.peers.Store(&[]distribution.Peer{})
	return list
}

// current returns the peers. The caller must not change the slice.
func (l *peerList) current() []distribution.Peer { return *l.peers.Load() }

// set replaces the peers with the entries that are in service and serve chunks.
func (l *peerList) set(entries []registry.Entry) {
	var peers []distribution.Peer
	for _, entry := range entries {
		if entry.ChunkAddr != "" && entry.State == registry.InService {
			peers = append(peers, distribution.Peer{Name: entry.Name, Addr: entry.ChunkAddr})
		}
	}
	l.peers.Store(&peers)
}

// registryEntry returns the entry under which the worker registers while it is in service.
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

// maintainRegistration renews the worker's registration until ctx ends, then registers the worker as draining. After
// each renewal it updates the list of workers that serve chunks. Without a registry it only waits for the end of ctx.
func (c *serveCmd) maintainRegistration(
	ctx context.Context, entry registry.Entry, peers *peerList, log *slog.Logger,
) {
	if c.Registry == "" {
		<-ctx.Done()
		return
	}
	client := registry.Client{BaseURL: c.Registry, HTTP: &http.Client{Timeout: c.Lease}}
	renew := func() {
		ctx := context.WithoutCancel(ctx) // the last renewal, after ctx has ended, registers the worker as draining
		if err := client.Register(ctx, entry, c.Lease); err != nil {
			log.Warn("worker registration failed", "err", err)
		}
		entries, err := client.Workers(ctx)
		if err != nil {
			return // keep using the previous list
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
