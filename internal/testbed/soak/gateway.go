package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"lupinpond/internal/gateway/discovery"
	"lupinpond/internal/gateway/thrift"
	"lupinpond/internal/testbed/faultproxy"
	"lupinpond/internal/testbed/processlimit"
)

const (
	// readyPollInterval is the interval of the health checks of a starting gateway.
	readyPollInterval = 20 * time.Millisecond
	// healthCheckTimeout is the timeout of a health check.
	healthCheckTimeout = time.Second
)

// sendMode says on which connections clients send new requests to a gateway.
type sendMode int

const (
	sendNothing sendMode = iota
	sendOnOpenConns
	sendOnAnyConn
)

// stopTimeout returns the time after SIGTERM at which a gateway is killed: the longest time limit of a request that the
// shutdown takes into account, plus 700 ms.
func (o Options) stopTimeout() time.Duration {
	return min(o.maxWait(), maxCountedWait) + 700*time.Millisecond
}

// gatewayProcess is one gateway across its incarnations: its process, the proxies around it, and the periods in which
// faults excuse what would otherwise be violations.
type gatewayProcess struct {
	options          Options
	index            int
	name             string
	listen           string // address at which its process listens
	limits           processLimits
	clientProxy      *faultproxy.Proxy   // between clients and gateway
	discoveryProxies []*faultproxy.Proxy // two alternative addresses of the discovery service
	discoveryUplink  *faultproxy.Proxy   // between both discoveryProxies and the discovery service; it fails in an outage
	checker          *checker
	spawn            func(cmd *exec.Cmd) error // starts a process that ends with this process
	endpoints        func() ([]discovery.Endpoint, int64)
	wrapper          []string // command prefix that makes system calls of the program fail (strace); empty: none

	mu             sync.Mutex
	discoveryProxy *faultproxy.Proxy // the one of discoveryProxies that the configuration names
	incarnation    int
	process        *exec.Cmd
	ended          chan struct{}
	stopping       bool // the process is expected to end
	sendMode       sendMode
	claimed        bool                // a fault is being injected at this gateway
	quota          *processlimit.Quota // of the process; nil: its processor time is not limited

	// The following periods are guarded by the checker's lock.
	lossExcuses     spans // requests may be lost
	discoveryDelays spans // notifications of the discovery service may be late
	outages         spans // the discovery service is unreachable
	networkDelays   spans // requests of clients arrive late
}

// beginLossExcuse begins a period in which requests may be lost; the returned function ends it.
func (g *gatewayProcess) beginLossExcuse() (end func()) { return g.beginSpan(&g.lossExcuses) }

// beginDiscoveryDelay begins a period in which a fault delays notifications of the discovery service; the returned
// function ends it.
func (g *gatewayProcess) beginDiscoveryDelay() (end func()) {
	return g.beginBoundedSpan(&g.discoveryDelays, maxNotificationDelay)
}

// beginDiscoveryMove begins a period in which notifications may be late, as the configuration has just named another
// address of the discovery service; the returned function ends it.
func (g *gatewayProcess) beginDiscoveryMove() (end func()) {
	return g.beginBoundedSpan(&g.discoveryDelays, moveNotificationDelay)
}

// beginOutage begins a period in which the discovery service is unreachable; endOutages ends it.
func (g *gatewayProcess) beginOutage() { g.beginBoundedSpan(&g.outages, maxNotificationDelay) }

// beginNetworkDelay begins a period in which requests of clients arrive late; the returned function ends it.
func (g *gatewayProcess) beginNetworkDelay() (end func()) { return g.beginSpan(&g.networkDelays) }

func (g *gatewayProcess) beginSpan(list *spans) (end func()) { return g.beginBoundedSpan(list, 0) }

func (g *gatewayProcess) beginBoundedSpan(list *spans, bound time.Duration) (end func()) {
	newSpan := &span{from: time.Now(), bound: bound}
	g.checker.mu.Lock()
	defer g.checker.mu.Unlock()
	*list = append(*list, newSpan)
	return func() {
		g.checker.mu.Lock()
		defer g.checker.mu.Unlock()
		newSpan.to = time.Now()
	}
}

// notifiedAt returns when the gateway is considered notified of a change that was published at the given time; the
// checker's lock must be held. In an outage, the notification delay runs from the start of the outage and not from the
// change, and other faults don't extend it.
func (g *gatewayProcess) notifiedAt(published time.Time) time.Time {
	from, to := published.Add(-checkerSlack), published.Add(drainGrace)
	if outages := g.outages.overlapping(from, to); len(outages) > 0 {
		notified := outages[0].notifiedAt(published)
		for _, outage := range outages[1:] {
			if at := outage.notifiedAt(published); at.Before(notified) {
				notified = at
			}
		}
		return notified
	}
	notified := published
	for _, delay := range g.discoveryDelays.overlapping(from, to) {
		if at := delay.notifiedAt(published); at.After(notified) {
			notified = at
		}
	}
	return notified
}

// start starts a process with the current configuration, and lets clients send requests once the gateway is ready.
func (g *gatewayProcess) start(ctx context.Context) error {
	if err := g.configure(nil); err != nil {
		return err
	}
	log, err := g.createLog()
	if err != nil {
		return err
	}
	cmd, ended := g.command(log)
	started := time.Now()
	if err := g.spawn(cmd); err != nil {
		close(ended)
		return errors.Join(fmt.Errorf("start %s: %w", g.name, err), log.Close())
	}
	g.checker.count(func(counts *Counts) { counts.Starts++ })
	if len(g.wrapper) == 0 {
		go g.enforceLimits(cmd.Process.Pid, ended)
	}
	go func() {
		defer close(ended)
		g.wait(cmd)
		_ = log.Close() // all output of the process has been read
	}()
	return g.awaitReady(ctx, started, ended)
}

// createLog creates the log file of the next incarnation.
func (g *gatewayProcess) createLog() (*os.File, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.incarnation++
	return os.Create(g.options.path(fmt.Sprintf("%s-%d.log", g.name, g.incarnation)))
}

// command prepares the process of a new incarnation; ended must be closed when the process ends.
func (g *gatewayProcess) command(log *os.File) (cmd *exec.Cmd, ended chan struct{}) {
	args := append(append([]string{}, g.wrapper...), g.options.Program, "--log-format", "json", "--log-level", "info")
	cmd = exec.Command(args[0], args[1:]...)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+g.configPath(), "GW_NAME="+g.name, "GW_LISTEN="+g.listen)
	reader := &logReader{gateway: g, file: log}
	cmd.Stderr, cmd.Stdout = reader, reader
	ended = make(chan struct{})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.process, g.ended, g.stopping = cmd, ended, false
	return cmd, ended
}

// wait waits for the end of a process, and records a violation if the run didn't stop it.
func (g *gatewayProcess) wait(cmd *exec.Cmd) {
	err := cmd.Wait()
	g.mu.Lock()
	stopping := g.stopping
	g.sendMode = sendNothing
	g.mu.Unlock()
	if !stopping {
		g.checker.recordViolation(Crashed, g.name, "", "process ended unexpectedly: %v", err)
	}
}

// awaitReady waits until the gateway answers a health check.
func (g *gatewayProcess) awaitReady(ctx context.Context, started time.Time, ended chan struct{}) error {
	for ctx.Err() == nil {
		if healthy(g.listen) {
			if duration := time.Since(started); duration > readyTimeout {
				g.checker.recordViolation(NotReady, g.name, "", "ready after %v", duration)
			}
			g.setSendMode(sendOnAnyConn)
			return nil
		}
		select {
		case <-ended:
			return fmt.Errorf("start %s: process ended before it was ready", g.name)
		case <-ctx.Done():
		case <-time.After(readyPollInterval):
		}
		if duration := time.Since(started); duration > 3*readyTimeout {
			g.checker.recordViolation(NotReady, g.name, "", "not ready after %v", duration)
			return nil
		}
	}
	return nil
}

// healthy reports whether a gateway answers a health check, whatever the answer is.
func healthy(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, healthCheckTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	if conn.SetDeadline(time.Now().Add(healthCheckTimeout)) != nil {
		return false
	}
	if _, err := conn.Write(healthCheckFrame()); err != nil {
		return false
	}
	message, err := thrift.ReadMessage(conn, maxResponseBytes)
	return err == nil && strings.HasPrefix(message.Name, "alive")
}

func (g *gatewayProcess) configPath() string { return g.options.path(g.name + ".json") }

// configure writes the gateway's current configuration; interrupt, unless nil, is called when half of it is written.
func (g *gatewayProcess) configure(interrupt func()) error {
	endpoints, position := g.endpoints()
	config, err := gatewayConfig(g, endpoints, position)
	if err != nil {
		return err
	}
	return writeConfig(g.configPath(), config, interrupt)
}

// moveDiscovery selects the other address of the discovery service for the configuration, and returns the proxies of
// both addresses.
func (g *gatewayProcess) moveDiscovery() (old, current *faultproxy.Proxy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old = g.discoveryProxy
	g.discoveryProxy = g.discoveryProxies[0]
	if old == g.discoveryProxy {
		g.discoveryProxy = g.discoveryProxies[1]
	}
	return old, g.discoveryProxy
}

// currentDiscovery returns the proxy of the discovery service that the configuration names.
func (g *gatewayProcess) currentDiscovery() *faultproxy.Proxy {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.discoveryProxy
}

// signal sends a signal to the gateway program, not to strace.
func (g *gatewayProcess) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if pid := g.pidLocked(); pid > 0 {
		_ = syscall.Kill(pid, s) // the process may have ended
	}
}

// pidLocked returns the process ID of the gateway program, which strace may have started; 0: there is none. g.mu must
// be held.
func (g *gatewayProcess) pidLocked() int {
	if g.process == nil || g.process.Process == nil {
		return 0
	}
	pid := g.process.Process.Pid
	if len(g.wrapper) == 0 {
		return pid
	}
	children, err := os.ReadFile(fmt.Sprintf("/proc/%d/task/%d/children", pid, pid))
	if err != nil {
		return 0
	}
	child := 0
	_, _ = fmt.Sscan(string(children), &child) // no child yet: 0
	return child
}

// expectStop records that the process is expected to end, and returns the channel that is closed when it has ended.
func (g *gatewayProcess) expectStop() (ended chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = true
	return g.ended
}

// stop sends the process a signal and waits for its end; after the timeout it kills the process. It reports whether the
// process ended within the timeout.
func (g *gatewayProcess) stop(s syscall.Signal, timeout time.Duration) (graceful bool) {
	ended := g.expectStop()
	if ended == nil {
		return true
	}
	g.signal(s)
	select {
	case <-ended:
		return true
	case <-time.After(timeout):
	}
	g.signal(syscall.SIGKILL)
	g.mu.Lock()
	if g.process.Process != nil {
		_ = g.process.Process.Kill() // also ends strace
	}
	g.mu.Unlock()
	<-ended
	return false
}

// isAccepting reports whether clients may send requests to the gateway on open and new connections.
func (g *gatewayProcess) isAccepting() bool { return g.currentSendMode() == sendOnAnyConn }

func (g *gatewayProcess) currentSendMode() sendMode {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sendMode
}

func (g *gatewayProcess) setSendMode(mode sendMode) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sendMode = mode
}

// claim reserves the gateway for one fault; it returns false if another fault has claimed it.
func (g *gatewayProcess) claim() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.claimed {
		return false
	}
	g.claimed = true
	return true
}

func (g *gatewayProcess) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.claimed = false
}
