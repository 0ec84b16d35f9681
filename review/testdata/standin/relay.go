package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"time"
)

// relay passes connections on to a worker. It can cut them, and let new ones come up late.
type relay struct {
	addr   string
	target string
	// watchRequests and watchAnswers, if not nil, are called with what the gateway or the worker sends before it is
	// passed on. The connection is reset if watchAnswers returns true.
	watchRequests func(sentBytes)
	watchAnswers  func(sentBytes) (cut bool)

	mu     sync.Mutex
	lateBy time.Duration // time after which a new connection comes up
	conns  map[*net.TCPConn]bool
}

// sentBytes holds the latest bytes of a connection, of which the last ones are new.
type sentBytes struct {
	latest []byte
	fresh  int
}

// keptBytes is the number of bytes that are kept to find a text that came in two parts.
const keptBytes = 64

// contains reports whether a text of at most keptBytes has just come.
func (s sentBytes) contains(text string) bool {
	return bytes.Contains(s.latest[max(0, len(s.latest)-s.fresh-len(text)+1):], []byte(text))
}

func startRelay(target string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	r := &relay{addr: listener.Addr().String(), target: target, conns: map[*net.TCPConn]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn.(*net.TCPConn))
		}
	}()
	return r
}

// setLate makes new connections come up late.
func (r *relay) setLate(by time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lateBy = by
}

// resetAll resets the gateways' connections.
func (r *relay) resetAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		reset(conn)
	}
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	conn.Close()
}

// serve passes a connection on until one side closes it.
func (r *relay) serve(gateway *net.TCPConn) {
	r.mu.Lock()
	late := r.lateBy
	r.conns[gateway] = true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.conns, gateway)
		r.mu.Unlock()
	}()
	time.Sleep(late)
	dialed, err := net.Dial("tcp", r.target)
	if err != nil {
		reset(gateway) // as if the connection had been refused
		return
	}
	worker := dialed.(*net.TCPConn)
	var end sync.Once
	closeBoth := func() { end.Do(func() { gateway.Close(); worker.Close() }) }
	go func() {
		defer closeBoth()
		pass(worker, gateway, func(sent sentBytes) bool {
			if r.watchRequests != nil {
				r.watchRequests(sent)
			}
			return false
		})
	}()
	defer closeBoth()
	if pass(gateway, worker, func(sent sentBytes) bool { return r.watchAnswers != nil && r.watchAnswers(sent) }) {
		reset(gateway)
	}
}

// pass passes on what from sends until it ends, or until watch returns true.
func pass(to, from net.Conn, watch func(sentBytes) (cut bool)) (cut bool) {
	buffer := make([]byte, 32<<10)
	var recent []byte
	for {
		n, err := from.Read(buffer)
		recent = append(recent, buffer[:n]...)
		if n > 0 && watch(sentBytes{recent, n}) {
			return true
		}
		recent = bytes.Clone(recent[max(0, len(recent)-keptBytes):])
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return false
			}
		}
		if err != nil {
			return false
		}
	}
}

// relayedWorker is a worker of cell 1 that the registry lists at the address of a relay.
type relayedWorker struct {
	*process
	*relay
	fleet   *ownFleet
	name    string
	listen  string
	flags   []string
	effects *effectLog
}

func (f *ownFleet) newRelayedWorker(name string, flags ...string) *relayedWorker {
	listen := freeAddr()
	return &relayedWorker{relay: startRelay(listen), fleet: f, name: name, listen: listen, flags: flags,
		effects: &effectLog{worker: name, path: filepath.Join(f.folder, name+".effects")}}
}

// start starts the worker's process and lists it.
func (w *relayedWorker) start() {
	f := w.fleet
	w.process = f.startProgram(w.name, nil, append([]string{"bin/worker", "--name", w.name, "--listen", w.listen,
		"--folder", filepath.Join(f.folder, w.name), "--store", "http://" + f.store, "--list", "",
		"--effects", w.effects.path, "--registers", f.registers, "--log-level", "info"}, w.flags...)...)
	awaitAddr(w.listen)
	f.register(object{"name": w.name, "addr": w.addr, "zone": "zone-0", "cell": "1", "cores": 2, "state": "in",
		"started": time.Now().UTC().Format(time.RFC3339Nano)})
}

// register lists a worker in the registry.
func (f *ownFleet) register(entry object) {
	body, err := json.Marshal(entry)
	check(err)
	url := fmt.Sprintf("http://%s/v1/workers/%s", f.registry, entry["name"])
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPut, url, bytes.NewReader(body))
	check(err)
	response, err := http.DefaultClient.Do(request)
	check(err)
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		text, _ := io.ReadAll(response.Body)
		check(fmt.Errorf("registry: %s: %s", response.Status, text))
	}
	f.logf("listed %s", body)
}

// shorten returns the beginning of a long text, and its length.
func shorten(text string) string {
	const most = 300
	if len(text) <= most {
		return text
	}
	return fmt.Sprintf("%s... (%d bytes)", text[:24], len(text))
}
