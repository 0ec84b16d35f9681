package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// limitedProgram is a gateway process with a low limit of file descriptors.
type limitedProgram struct {
	*exec.Cmd
	t        *testing.T
	addr     string    // address for clients
	deadline time.Time // latest time at which dial still retries
}

// startLimitedProgram starts a gateway process that may open at most config.sockets file descriptors.
func startLimitedProgram(t *testing.T, config platformConfig) *limitedProgram {
	t.Helper()
	command := fmt.Sprintf("ulimit -n %d && exec %q", config.sockets, os.Args[0])
	p := &limitedProgram{Cmd: exec.Command("sh", "-c", command), t: t, addr: config.listen,
		deadline: time.Now().Add(time.Minute)}
	p.Env = append(os.Environ(), programEnv+"=gateway", "GW_CONFIG="+config.write(t))
	p.Stderr = os.Stderr
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Process.Kill() })
	return p
}

// dial connects to the gateway, and retries until the gateway listens.
func (p *limitedProgram) dial() net.Conn {
	p.t.Helper()
	for time.Now().Before(p.deadline) {
		conn, err := net.Dial("tcp", p.addr)
		if err == nil {
			return conn
		}
		time.Sleep(5 * time.Millisecond)
	}
	p.t.Fatal("the gateway doesn't listen")
	return nil
}

// dispatch sends request n on a new connection and reports whether it was completed.
func (p *limitedProgram) dispatch(n int) (ok bool, err error) {
	p.t.Helper()
	conn := p.dial()
	defer conn.Close()
	return roundTrip(conn, dispatchFrame(n))
}

// connectIdle opens n connections that stay idle after a health check.
func (p *limitedProgram) connectIdle(n int) {
	p.t.Helper()
	for range n {
		conn := p.dial()
		p.t.Cleanup(func() { conn.Close() })
		if ok, err := roundTrip(conn, healthCheckFrame()); err != nil || !ok {
			p.t.Error("health check failed:", ok, err)
		}
	}
}

// startJournal starts a journal (the platform's discovery service) at addr. Its event 2 changes hosts; polled receives
// a value for each poll after that event.
func startJournal(t *testing.T, addr string, hosts []string) (polled <-chan struct{}) {
	t.Helper()
	polls := make(chan struct{}, 1000)
	journal := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("tail") == "1" {
			fmt.Fprintf(w, `{"pos":2,"entries":[{"pos":2,"hosts":{"whole":false,"hosts":[%s]}}]}`, strings.Join(hosts, ","))
			return
		}
		polls <- struct{}{}
		<-r.Context().Done()
	}))
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	journal.Listener.Close()
	journal.Listener = listener
	journal.Start()
	t.Cleanup(journal.Close)
	return polls
}

// Idle clients and connections to all workers must not use up the gateway's file descriptors: while the journal is
// unreachable the gateway still serves requests, it receives the endpoint list once the journal is reachable again, and
// it exits with status 0.
func TestIdleClientsExhaustDescriptors(t *testing.T) {
	const sockets, workers = 64, 30
	var known, changed []string
	for i := range workers {
		name, addr := fmt.Sprint("w", i), startWorker(t, nil)
		known = append(known, hostJSON(name, addr, "up"))
		changed = append(changed, hostJSON(name, addr, "removed"))
	}
	journal := unusedAddr(t)
	program := startLimitedProgram(t, platformConfig{
		listen:     unusedAddr(t),
		journal:    journal,
		sockets:    sockets,
		hosts:      known,
		familyInfo: `{"keep":5,"orders":true,"miss_mode":"load","order_limit":4}`,
		connIdle:   600,
		giveUp:     1,
	})
	program.connectIdle(2 * sockets)
	for n := range 10 * workers { // enough functions that each worker receives requests
		if ok, err := program.dispatch(n); err != nil || !ok {
			t.Error("request", n, "completed:", ok, err)
		}
	}
	program.connectIdle(2 * sockets)
	polled := startJournal(t, journal, append(changed, hostJSON("new", startWorker(t, nil), "up")))
	select {
	case <-polled:
	case <-time.After(20 * time.Second):
		t.Fatal("the gateway did not receive the endpoint list")
	}
	if ok, err := program.dispatch(1 << 20); err != nil || !ok {
		t.Error("request after the endpoint list arrived, completed:", ok, err)
	}
	if err := program.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := program.Wait(); err != nil {
		t.Error(err)
	}
}
