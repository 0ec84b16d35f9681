package flood

import (
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"lupinpond/internal/gateway/resp"
)

const (
	// runTime is the time for which a worker runs a request.
	runTime = 20 * time.Millisecond

	// maxCommandBytes is the maximum size of an element of a command.
	maxCommandBytes = 1 << 20
)

// executions records when each request of one class was run, over all workers.
type executions struct {
	class string

	mu    sync.Mutex
	times map[string][]time.Time // by request ID
}

// add records the execution of a request with the given fields, if it is of the class.
func (e *executions) add(id, fields string) {
	if !slices.Contains(strings.Split(fields, ","), "class="+e.class) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.times[id] = append(e.times[id], time.Now())
}

// total returns the number of executions.
func (e *executions) total() (total int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, times := range e.times {
		total += len(times)
	}
	return total
}

// repeated returns the number of requests that were run more than once.
func (e *executions) repeated() (repeated int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, times := range e.times {
		if len(times) > 1 {
			repeated++
		}
	}
	return repeated
}

// worker runs every request with success.
type worker struct {
	listener   net.Listener
	executions *executions
}

// startWorker starts a worker on a free port of the loopback interface.
func startWorker(executions *executions) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{listener: listener, executions: executions}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(conn)
		}
	}()
	return w, nil
}

// serve answers the commands on a connection until the gateway closes it.
func (w *worker) serve(conn net.Conn) {
	defer conn.Close()
	var mu sync.Mutex
	answer := func(words ...string) {
		mu.Lock()
		defer mu.Unlock()
		_, _ = conn.Write(resp.AppendArray(nil, words...)) // fails if the gateway has closed the connection
	}
	_ = resp.ReadCommands(conn, maxCommandBytes, func(words []string, _ int) error {
		switch words[0] {
		case "FN":
			id, body := words[1], words[3]
			w.executions.add(id, words[2])
			time.AfterFunc(runTime, func() { answer(id, "ok", "how=ready", body) })
		case "SPAWN":
			answer(words[1], "ok", "n=1", "")
		case "TOP", "HELO":
			answer(words[1], "yes", "-", "")
		}
		return nil
	})
}
