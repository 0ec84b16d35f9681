package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// host is an entry of the list of workers, as PROTOCOL.md shows it.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

type hostList struct {
	Seq   int    `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []host `json:"hosts"`
}

type entry struct {
	Pos   int      `json:"pos"`
	Hosts hostList `json:"hosts"`
}

type batch struct {
	Pos     int     `json:"pos"`
	Entries []entry `json:"entries"`
}

// journal is the journal service of one front end. While it is down, it takes no connection, and those that it has are
// closed.
type journal struct {
	rec     *record
	mu      sync.Mutex
	entries []entry
	changed chan struct{}
	addr    string
	server  *http.Server
	// breakNext makes the service break off in the middle of the next answer that has an event, and go down.
	breakNext bool
	delay     time.Duration  // for how long each answer is held back
	polls     chan time.Time // receives the time of each poll, if somebody waits for it
}

// awaitPoll waits for the next poll and returns when it came.
func (j *journal) awaitPoll() time.Time {
	select {
	case <-j.polls:
	default:
	}
	return <-j.polls
}

// breakOff makes the service break off in the middle of the next answer that has an event, and go down.
func (j *journal) breakOff() {
	j.mu.Lock()
	j.breakNext = true
	j.mu.Unlock()
}

func newJournal(rec *record, hosts []host) *journal {
	j := &journal{rec: rec, changed: make(chan struct{}), polls: make(chan time.Time, 1)}
	j.entries = []entry{{Pos: 1, Hosts: hostList{Seq: 1, Whole: true, Hosts: hosts}}}
	j.addr = freeAddress()
	j.up()
	return j
}

// known returns the events of the start as they are written into the configuration.
func (j *journal) known() batch {
	j.mu.Lock()
	defer j.mu.Unlock()
	return batch{Pos: len(j.entries), Entries: append([]entry(nil), j.entries...)}
}

// change adds an event with the changed entries. Once it is here, it counts as told.
func (j *journal) change(hosts ...host) {
	j.mu.Lock()
	pos := len(j.entries) + 1
	j.entries = append(j.entries, entry{Pos: pos, Hosts: hostList{Seq: pos, Hosts: hosts}})
	close(j.changed)
	j.changed = make(chan struct{})
	j.mu.Unlock()
	for _, h := range hosts {
		j.rec.line("journal event %d: %s %s", pos, h.Host, h.Health)
	}
}

func (j *journal) up() {
	listener, err := net.Listen("tcp", j.addr)
	if err != nil {
		cannotRun("journal: %v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /journal", j.serve)
	server := &http.Server{Handler: mux}
	j.mu.Lock()
	j.server = server
	j.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	j.rec.line("journal service up at %s", j.addr)
}

// down closes the listener and all connections.
func (j *journal) down() {
	j.mu.Lock()
	server := j.server
	j.mu.Unlock()
	j.rec.line("journal service down")
	_ = server.Close()
}

func (j *journal) serve(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("tail"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("max_wait"))
	select {
	case j.polls <- time.Now():
	default:
	}
	deadline := time.NewTimer(time.Duration(min(wait, 5000)) * time.Millisecond)
	defer deadline.Stop()
	for waiting := true; waiting; {
		j.mu.Lock()
		news, changed := len(j.entries) > after, j.changed
		j.mu.Unlock()
		if news {
			break
		}
		select {
		case <-changed:
		case <-deadline.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	j.mu.Lock()
	answer := batch{Pos: len(j.entries), Entries: []entry{}}
	if after < len(j.entries) {
		answer.Entries = append(answer.Entries, j.entries[after:]...)
	}
	breaks := j.breakNext && len(answer.Entries) > 0
	j.breakNext = j.breakNext && !breaks
	delay := j.delay
	j.mu.Unlock()
	time.Sleep(delay)
	body, err := json.Marshal(answer)
	if err != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	if breaks {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		j.rec.line("journal service breaks off after %d of %d bytes of event %d", len(body)/2, len(body), answer.Pos)
		go j.down()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
	if len(answer.Entries) > 0 {
		j.rec.line("journal told events up to %d (asked after %d)", answer.Pos, after)
	}
}

// givenPorts are the ports that freeAddress has returned.
var givenPorts sync.Map

// freeAddress returns a loopback address with a free port. It is below the range from which the system takes the ports
// of outgoing connections, so that none of those takes it before a program listens there.
func freeAddress() string {
	for range 1000 {
		port := 20000 + rand.IntN(12000)
		if _, given := givenPorts.LoadOrStore(port, true); given {
			continue
		}
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if listener, err := net.Listen("tcp", addr); err == nil {
			listener.Close()
			return addr
		}
	}
	cannotRun("no free port")
	return ""
}
