package scenario

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"lupinpond/internal/base/capture"
	"lupinpond/internal/gateway"
	"lupinpond/internal/registry"
	"lupinpond/internal/testbed/checker"
)

// gatewayInstance is one incarnation of a gateway, from its start until it is drained or crashes.
type gatewayInstance struct {
	gateway     *gateway.Gateway
	tap         *capture.Tap // nil if the traffic is not captured
	drain       context.CancelFunc
	abort       context.CancelFunc // stops the gateway at once, as a crash does
	done        chan error         // receives the result of the gateway's Run
	recording   *os.File           // recording of the core's inputs for a replay; nil if none is made
	finalCounts gateway.Counts
	stopped     bool

	mu      sync.Mutex
	capture *checker.GatewayCapture
}

// startGateways starts all gateways of the scenario on free ports and returns their addresses.
func (r *run) startGateways() (addrs []string, err error) {
	for i := range r.scenario.Gateways {
		addr, err := r.startGateway(i, "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, addr)
	}
	return addrs, nil
}

// startGateway starts an incarnation of a gateway with the endpoint list that the previous incarnation cached.
func (r *run) startGateway(index int, addr string) (listenAddr string, err error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	r.mu.Lock()
	name := fmt.Sprintf("front-%d.%d", index, len(r.instances))
	var cached *registry.WatchEvent
	if event, ok := r.cachedEndpoints[index]; ok {
		cached = &event
		r.deliveries = append(r.deliveries, checker.Delivery{Gateway: name, At: time.Since(r.startedAt), Event: event})
	}
	r.mu.Unlock()
	instance := &gatewayInstance{capture: &checker.GatewayCapture{Name: name, Index: index}, done: make(chan error, 1)}
	if !r.captureDisabled {
		instance.tap = capture.NewTap(r.startedAt, instance.record)
	}
	config := r.options.Config
	config.Gateway.RegistryURL = "http://" + r.registryAddr
	options := gateway.Options{
		Name:            name,
		Index:           index,
		GatewayCount:    r.scenario.Gateways,
		Seed:            r.scenario.Seed + uint64(index),
		Config:          config,
		Listener:        listener,
		Tap:             instance.tap,
		Log:             r.options.Log,
		CachedEndpoints: cached,
		OnEndpoints: func(event registry.WatchEvent) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.cachedEndpoints[index] = event
		},
	}
	if r.options.OutputDir != "" {
		if instance.recording, err = os.Create(filepath.Join(r.options.OutputDir, name+".core")); err != nil {
			return "", errors.Join(err, listener.Close())
		}
		options.Record = instance.recording
	}
	if instance.gateway, err = gateway.New(options); err != nil {
		return "", errors.Join(err, listener.Close(), instance.closeRecording())
	}
	instance.start()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instances = append(r.instances, instance)
	for len(r.running) <= index {
		r.running = append(r.running, nil)
	}
	r.running[index] = instance
	return listener.Addr().String(), nil
}

// instance returns the current incarnation of a gateway.
func (r *run) instance(index int) *gatewayInstance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running[index]
}

// drainGateways shuts all gateways down gracefully: each responds to its requests in flight before it stops.
func (r *run) drainGateways() (err error) {
	for _, instance := range r.running {
		err = errors.Join(err, instance.shutDown())
	}
	return err
}

// crashGateways crashes the gateways that are still running.
func (r *run) crashGateways() {
	for _, instance := range r.running {
		_ = instance.crash() // matters only if the run has failed: otherwise all gateways have been drained
	}
}

func (g *gatewayInstance) record(record capture.Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.capture.Records = append(g.capture.Records, record)
}

func (g *gatewayInstance) start() {
	var draining, aborted context.Context
	draining, g.drain = context.WithCancel(context.Background())
	aborted, g.abort = context.WithCancel(context.Background())
	go func() { g.done <- g.gateway.Run(draining, aborted) }()
}

// shutDown drains the gateway and waits until it has stopped.
func (g *gatewayInstance) shutDown() error {
	if g.stopped {
		return nil
	}
	g.stopped = true
	g.drain()
	err := <-g.done
	g.finalCounts = g.gateway.FinalCounts()
	return g.finish(err)
}

// crash stops the gateway at once, without responses to its requests in flight, as if its process were killed.
func (g *gatewayInstance) crash() error {
	if g.stopped {
		return nil
	}
	g.stopped = true
	g.finalCounts = g.gateway.Counts(context.Background())
	g.tap.Crashed()
	g.abort()
	return g.finish(<-g.done)
}

// finish releases the resources of a stopped gateway. It returns err, the result of the gateway's Run, or, if err is
// nil, the error from closing the recording.
func (g *gatewayInstance) finish(err error) error {
	g.drain()
	g.abort()
	if closeErr := g.closeRecording(); err == nil {
		err = closeErr
	}
	return err
}

func (g *gatewayInstance) closeRecording() error {
	if g.recording == nil {
		return nil
	}
	return g.recording.Close()
}
