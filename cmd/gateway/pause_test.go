package main

import (
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"lupinpond/internal/gateway/discovery"
	"lupinpond/internal/testbed/discoverytest"
)

// attemptLog records when a worker received attempts.
type attemptLog struct {
	mu    sync.Mutex
	times []time.Time
}

// record records a command if it is an attempt. It is a callback for startWorker.
func (l *attemptLog) record(words []string) {
	if words[0] != "FN" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.times = append(l.times, time.Now())
}

// countAfter returns the number of attempts that were received after the given time.
func (l *attemptLog) countAfter(t time.Time) (count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, at := range l.times {
		if at.After(t) {
			count++
		}
	}
	return count
}

// startSlowDiscovery starts a discovery service, whose answers arrive late by delay, and returns its address. polls
// receives the wait of each poll.
func startSlowDiscovery(t *testing.T, delay time.Duration) (
	service *discoverytest.Server, addr string, polls <-chan time.Duration) {
	t.Helper()
	service, err := discoverytest.New(nil)
	if err != nil {
		t.Fatal(err)
	}
	waits := make(chan time.Duration, 1000)
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		wait, err := strconv.Atoi(r.URL.Query().Get("max_wait"))
		if err != nil {
			t.Error(err)
		}
		waits <- time.Duration(wait) * time.Millisecond
		answer := httptest.NewRecorder()
		service.ServeHTTP(answer, r)
		time.Sleep(delay)
		_, _ = w.Write(answer.Body.Bytes()) // fails if the gateway has cancelled the poll
	}))
	t.Cleanup(func() {
		proxy.CloseClientConnections()
		proxy.Close()
		if err := service.Close(); err != nil {
			t.Error(err)
		}
	})
	return service, proxy.Listener.Addr().String(), waits
}

// TestNoNewWorkAfterPause guards against new work that is sent to a draining worker right after a pause of the process:
// the answer of the discovery service that was waiting to be read was given before the drain, and the next one comes
// late. All requests must be served, by the other worker.
func TestNoNewWorkAfterPause(t *testing.T) {
	const (
		delay      = 100 * time.Millisecond
		pause      = 950 * time.Millisecond
		drainLimit = 550 * time.Millisecond // the drain grace and the tolerance of the platform's rules
		functions  = 8
		clientWait = 3 * time.Second
	)
	var workers [2]attemptLog
	names := [2]string{"s-0", "s-1"}
	var hosts, addrs [2]string
	for i, name := range names {
		addrs[i] = startWorker(t, workers[i].record)
		hosts[i] = hostJSON(name, addrs[i], "up")
	}
	service, discoveryAddr, polls := startSlowDiscovery(t, delay)
	p := &program{t: t, addr: unusedAddr(t)}
	p.run(platformConfig{
		listen:     p.addr,
		journal:    discoveryAddr,
		sockets:    512,
		hosts:      hosts[:],
		familyInfo: `{"keep":60,"orders":false,"miss_mode":"load"}`,
		connIdle:   15,
		giveUp:     3,
	}, os.Stderr)
	firstWait := <-polls
	wait := <-polls
	for ; wait <= firstWait; wait = <-polls { // the first polls wait for less, until the list is confirmed
	}
	number := 0
	send := func() (awaitAnswer func()) {
		number++
		n, conn := number, p.send(requestFrame(number, number%functions, clientWait))
		return func() {
			defer conn.Close()
			if ok, err := roundTrip(conn, nil); err != nil || !ok {
				t.Errorf("request %d: completed %v, %v", n, ok, err)
			}
		}
	}
	for range 2 * functions {
		send()()
	}
	draining := 0
	if workers[1].countAfter(time.Time{}) > workers[0].countAfter(time.Time{}) {
		draining = 1
	}

	for len(polls) > 0 {
		<-polls
	}
	<-polls
	polled := time.Now()
	time.Sleep(time.Until(polled.Add(wait - delay/2)))
	p.stop()
	stopped := time.Now()
	time.Sleep(time.Until(polled.Add(wait + delay/2))) // the poll has been answered, but not been read
	_, drainedAt := service.Publish([]discovery.Endpoint{{Name: names[draining], Addr: addrs[draining], Zone: "z", Kind: "k",
		State: discovery.Draining, Size: 4}})
	var answers []func()
	for range 2 * functions {
		answers = append(answers, send())
	}
	time.Sleep(time.Until(stopped.Add(pause)))
	if err := p.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	for range 4 * functions {
		answers = append(answers, send())
		time.Sleep(5 * time.Millisecond)
	}
	for _, awaitAnswer := range answers {
		awaitAnswer()
	}
	if late := workers[draining].countAfter(drainedAt.Add(drainLimit)); late > 0 {
		t.Errorf("%d attempts were sent to the draining worker after the drain grace", late)
	}
}
