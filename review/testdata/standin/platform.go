package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The stand-ins of this file follow the operators' protocol page: clients, workers and the journal service.

// object is a JSON object.
type object map[string]any

// endpoint is an entry of the list of workers.
type endpoint struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

type listChange struct {
	Seq   int        `json:"seq"`
	Whole bool       `json:"whole"`
	Hosts []endpoint `json:"hosts"`
}

type journalEvent struct {
	Pos   int        `json:"pos"`
	Hosts listChange `json:"hosts"`
}

type journalBatch struct {
	Pos     int            `json:"pos"`
	Entries []journalEvent `json:"entries"`
}

// journalService tells the changes of the list of workers. Each call waits in turn for delay before it is looked at.
type journalService struct {
	*harness
	addr  string
	delay time.Duration

	polls chan struct{} // receives when a poll with a wait of at least minAwaitedWait arrives

	mu      sync.Mutex
	events  []journalEvent
	changed chan struct{}
}

// minAwaitedWait is the shortest wait of the polls that awaitPoll waits for, in milliseconds.
const minAwaitedWait = 1000

// awaitPoll waits until the next poll arrives.
func (j *journalService) awaitPoll() {
	select { // a poll that arrived earlier
	case <-j.polls:
	default:
	}
	select {
	case <-j.polls:
	case <-time.After(10 * time.Second):
		panic("the gateway does not poll the journal service")
	}
}

func startJournal(h *harness, delay time.Duration, hosts []endpoint) *journalService {
	j := &journalService{harness: h, delay: delay, polls: make(chan struct{}, 1), changed: make(chan struct{})}
	j.events = []journalEvent{{Pos: 1, Hosts: listChange{Seq: 1, Whole: true, Hosts: hosts}}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	j.addr = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /journal", j.serve)
	go func() { _ = http.Serve(listener, mux) }()
	return j
}

// tell adds an event and returns the time from which it is in the journal.
func (j *journalService) tell(hosts ...endpoint) time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := len(j.events) + 1
	j.events = append(j.events, journalEvent{Pos: n, Hosts: listChange{Seq: n, Hosts: hosts}})
	close(j.changed)
	j.changed = make(chan struct{})
	for _, host := range hosts {
		j.logf("journal event %d: %s is %s", n, host.Host, host.Health)
	}
	return time.Now()
}

// batch returns the events after a position.
func (j *journalService) batch(after int) (batch journalBatch, changed <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	batch = journalBatch{Pos: len(j.events), Entries: []journalEvent{}}
	batch.Entries = append(batch.Entries, j.events[min(max(after, 0), len(j.events)):]...)
	return batch, j.changed
}

func (j *journalService) serve(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("tail"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("max_wait"))
	j.logf("journal: poll after %d for %d ms", after, wait)
	if wait >= minAwaitedWait {
		select {
		case j.polls <- struct{}{}:
		default:
		}
	}
	time.Sleep(j.delay)
	timeout := time.After(time.Duration(min(wait, 5000)) * time.Millisecond)
	batch, changed := j.batch(after)
	for len(batch.Entries) == 0 {
		select {
		case <-timeout:
			timeout = nil
		case <-changed:
		}
		batch, changed = j.batch(after)
		if timeout == nil {
			break
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(batch)
	j.logf("journal: answered the poll after %d with %d events, last %d", after, len(batch.Entries), batch.Pos)
}

// command is a command that a worker has received whole.
type command struct {
	at    time.Time
	words []string
}

// fields returns the fields of a command, of the form name=value,name=value.
func (c command) fields() map[string]string {
	fields := map[string]string{}
	if len(c.words) > 2 {
		for part := range strings.SplitSeq(c.words[2], ",") {
			if name, value, found := strings.Cut(part, "="); found {
				fields[name] = value
			}
		}
	}
	return fields
}

// respWorker is a worker of the platform. It runs each request for a time and answers it; orders are answered at once.
type respWorker struct {
	*harness
	name     string
	addr     string
	work     time.Duration
	mu       sync.Mutex
	drained  time.Time // when its drain was told; zero: it isn't draining
	commands []command // requests and orders to hold at least one copy
}

func startRespWorker(h *harness, name string, work time.Duration) *respWorker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	w := &respWorker{harness: h, name: name, addr: listener.Addr().String(), work: work}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(conn)
		}
	}()
	return w
}

func (w *respWorker) endpoint(health string) endpoint {
	return endpoint{Host: w.name, Dial: w.addr, Site: "lhr-dc1", Class: "fast-5core", Health: health, Share: 1}
}

// readCommand reads an array of bulk strings.
func readCommand(in *bufio.Reader) (words []string, err error) {
	length := func(prefix byte) int {
		var line string
		if line, err = in.ReadString('\n'); err != nil {
			return 0
		}
		n, convErr := strconv.Atoi(strings.TrimSpace(line[1:]))
		if line[0] != prefix || convErr != nil {
			err = fmt.Errorf("got %q, want %q and a length", line, prefix)
		}
		return n
	}
	n := length('*')
	for i := 0; i < n && err == nil; i++ {
		size := length('$')
		if err != nil {
			break
		}
		text := make([]byte, size+2)
		if _, err = io.ReadFull(in, text); err == nil {
			words = append(words, string(text[:size]))
		}
	}
	return words, err
}

func encodeCommand(words ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(word), word)
	}
	return b.Bytes()
}

func (w *respWorker) serve(conn net.Conn) {
	defer conn.Close()
	var writing sync.Mutex
	answer := func(words ...string) {
		writing.Lock()
		defer writing.Unlock()
		_, _ = conn.Write(encodeCommand(words...))
	}
	in := bufio.NewReader(conn)
	for {
		words, err := readCommand(in)
		if err != nil {
			return
		}
		c := command{time.Now(), words}
		if len(words) < 2 {
			return
		}
		w.mu.Lock()
		draining := !w.drained.IsZero()
		if words[0] == "FN" || words[0] == "SPAWN" && c.fields()["n"] != "0" {
			w.commands = append(w.commands, c)
		}
		w.mu.Unlock()
		switch words[0] {
		case "FN":
			w.logf("%s got FN %s %s", w.name, words[1], words[2])
			if draining {
				answer(words[1], "refused", "-", "")
				continue
			}
			go func() {
				time.Sleep(w.work)
				answer(words[1], "ok", "how=ready", "by "+w.name+" for "+words[1])
			}()
		case "SPAWN":
			w.logf("%s got SPAWN %s", w.name, words[2])
			n := c.fields()["n"]
			if draining && n != "0" {
				answer(words[1], "refused", "n=0", "")
			} else {
				answer(words[1], "ok", "n="+max(n, "1"), "")
			}
		case "TOP", "HELO":
			answer(words[1], "yes", "-", "")
		}
	}
}

// drain records that the worker drains from now on, and tells it.
func (w *respWorker) drain(j *journalService) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drained = j.tell(w.endpoint("draining"))
}

// writeConfig writes the configuration file of a gateway, with settings like those of lahore-payroll.
func writeConfig(h *harness, listen string, j *journalService) (path string) {
	known, _ := j.batch(0)
	class := func(name, effect string, aim, giveUp float64) object {
		return object{"name": name, "effect": effect, "aim": aim, "give_up": giveUp, "dedup_scope": "all", "window": 5,
			"gain": 3, "late_worth": 0.2, "streamed": false}
	}
	config := object{
		"name": "n0", "listen": listen, "seed": "8c1f30d27a5be964", "journal": j.addr, "known": known,
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": object{
			"index": 0, "instances": 1, "quantum": 0.002, "weight_source": "nominal", "registry_mode": "push",
			"locality": "lhr-dc1", "zones": []string{"lhr-dc1"}, "kinds": []string{"fast-5core", "std-5core"},
			"family": "warm", "value_by": "request", "over_share_worth": 0.05,
			"family_info": object{"keep": 8.1, "orders": true, "miss_mode": "load", "order_limit": 10, "loads_within": 0,
				"loads_anyway": 0, "load_part": 0, "machine_mb": []int{106880, 105728}, "tells_warm": true, "says_company": true},
			"policy_limits": object{"cancel": true, "conn_idle": 15, "dial_timeout": 0.25, "max_streams": 32, "send_cap": 6,
				"probing": true, "retry_after": true, "max_retry_after": 2, "second_copies": false, "most_held": 24441},
			"report": object{"source": "inline", "fields": []string{"busy_reqs", "pending", "x0", "x1"}},
			"rules": object{"answer_slack": 0.008, "stop_sending_within": 0.5, "cold_from": 0.17, "warm_after": 17,
				"fall_multiple": 2.5, "fall": 1},
			"orgs": []object{{"name": "indus-textiles", "quota_per_s": 97, "share": 0.51},
				{"name": "ravi-pharmacy", "quota_per_s": 93, "share": 0.49}},
			"request_classes": []object{class("pay-preview", "pure", 2.5, 6), class("tax-check", "pure", 1.5, 5),
				class("salary-release", "side_effect", 1.5, 6)},
		},
	}
	text, err := json.MarshalIndent(config, "", " ")
	check(err)
	path = filepath.Join(h.folder, "config.json")
	check(os.WriteFile(path, text, 0o644))
	return path
}

// startPlatformGateway starts a gateway on the platform and waits until it is ready.
func startPlatformGateway(h *harness, j *journalService) (p *process, addr string) {
	addr = freeAddr()
	config := writeConfig(h, addr, j)
	p = h.startGateway("gateway", []string{"GW_NAME=n0", "GW_LISTEN=" + addr, "GW_CONFIG=" + config}, "")
	awaitAddr(addr)
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		client := dialFront(h, addr)
		ready := client.alive()
		client.conn.Close()
		if ready {
			h.logf("the gateway is ready")
			return p, addr
		}
		if time.Now().After(end) {
			panic("the gateway is not ready within 10 s")
		}
	}
}

// frontClient is a client's connection to a gateway.
type frontClient struct {
	*harness
	conn    net.Conn
	writing sync.Mutex
	lastSeq uint32
	mu      sync.Mutex
	open    map[uint32]chan frontAnswer
}

// frontAnswer is the answer to a request.
type frontAnswer struct {
	kind string // served, refused, failed, exception, or lost
	body string
}

func dialFront(h *harness, addr string) *frontClient {
	conn, err := net.Dial("tcp", addr)
	check(err)
	c := &frontClient{harness: h, conn: conn, open: map[uint32]chan frontAnswer{}}
	go c.read()
	return c
}

func appendText(b []byte, text string) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(text))), text...)
}

// message encodes the frame of a message: kind 1 is a call, 4 a oneway call. args are the fields of its struct.
func message(name string, kind byte, seq uint32, args []byte) []byte {
	b := []byte{0x80, 1, 0, kind}
	b = appendText(b, name)
	b = binary.BigEndian.AppendUint32(b, seq)
	b = append(append(b, args...), 0)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...)
}

// call sends a call and returns the channel of its answer.
func (c *frontClient) call(name string, args []byte) (seq uint32, answers <-chan frontAnswer) {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.lastSeq++
	seq = c.lastSeq
	channel := make(chan frontAnswer, 1)
	c.mu.Lock()
	c.open[seq] = channel
	c.mu.Unlock()
	_, _ = c.conn.Write(message(name, 1, seq, args)) // the reader sees the end of the connection
	return seq, channel
}

// openRequests returns the number of requests that have no answer and were not cancelled.
func (c *frontClient) openRequests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// alive reports whether the gateway answers that it is ready.
func (c *frontClient) alive() bool {
	_, answers := c.call("alive", []byte{2, 0, 1, 0})
	select {
	case a := <-answers:
		return a.kind == "served"
	case <-time.After(2 * time.Second):
		return false
	}
}

// dispatch sends a request and returns the answer, or "cancelled" after wait, when it has sent cancelRequest.
func (c *frontClient) dispatch(class, tenant, key string, wait time.Duration, body string) (id string, a frontAnswer) {
	id = fmt.Sprintf("%016x", rand.Uint64())
	fields := []string{"class", class, "id", id, "wait", strconv.FormatInt(wait.Milliseconds(), 10), "tenant", tenant,
		"key", key, "facts", "memory_mb:512;lanes:4"}
	args := []byte{13, 0, 1, 11, 11}
	args = binary.BigEndian.AppendUint32(args, uint32(len(fields)/2))
	for _, text := range fields {
		args = appendText(args, text)
	}
	args = append(args, 11, 0, 2)
	args = appendText(args, body)
	timeout := time.After(wait)
	seq, answers := c.call("dispatch", args)
	select {
	case a = <-answers:
		return id, a
	case <-timeout:
		c.writing.Lock()
		defer c.writing.Unlock()
		c.mu.Lock()
		delete(c.open, seq)
		c.mu.Unlock()
		c.lastSeq++
		_, _ = c.conn.Write(message("cancelRequest", 4, c.lastSeq, binary.BigEndian.AppendUint32([]byte{8, 0, 1}, seq)))
		return id, frontAnswer{kind: "cancelled"}
	}
}

// read reads answers until the connection ends.
func (c *frontClient) read() {
	in := bufio.NewReader(c.conn)
	for {
		var head [4]byte
		if _, err := io.ReadFull(in, head[:]); err != nil {
			break
		}
		frame := make([]byte, binary.BigEndian.Uint32(head[:]))
		if _, err := io.ReadFull(in, frame); err != nil {
			break
		}
		seq, answer := decodeAnswer(frame)
		c.mu.Lock()
		channel := c.open[seq]
		delete(c.open, seq)
		c.mu.Unlock()
		if channel != nil {
			channel <- answer
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, channel := range c.open {
		channel <- frontAnswer{kind: "lost"}
	}
	clear(c.open)
}

// decodeAnswer decodes the answer to dispatch or alive.
func decodeAnswer(frame []byte) (seq uint32, a frontAnswer) {
	nameSize := binary.BigEndian.Uint32(frame[4:])
	rest := frame[8+nameSize:]
	seq, rest = binary.BigEndian.Uint32(rest), rest[4:]
	if frame[3] == 3 {
		return seq, frontAnswer{kind: "exception", body: fmt.Sprintf("%q", rest)}
	}
	switch field := binary.BigEndian.Uint16(rest[1:]); field {
	case 1:
		return seq, frontAnswer{kind: "refused"}
	case 2:
		return seq, frontAnswer{kind: "failed"}
	}
	size := binary.BigEndian.Uint32(rest[6:]) // the body is the first field of the struct
	good := rest[len(rest)-3] == 1            // good is the last field
	if !good {
		return seq, frontAnswer{kind: "not ready"}
	}
	return seq, frontAnswer{kind: "served", body: string(rest[10 : 10+size])}
}

// pauseSignals are the signals that pause a process and let it continue.
var pauseSignals = []syscall.Signal{syscall.SIGSTOP, syscall.SIGCONT}
