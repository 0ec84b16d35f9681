package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"lupinpond/internal/gateway/resp"
	"lupinpond/internal/gateway/thrift"
)

// programEnv, where it is set to a name and arguments, has the test's own program be the gateway.
const programEnv = "LPGATE_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if args := os.Getenv(programEnv); args != "" {
		os.Args = strings.Fields(args)
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// startWorker starts a worker that answers every command with a success and returns its address; onCommand, which
// may be nil, is called with each command before.
func startWorker(t *testing.T, onCommand func(words []string)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_ = resp.ReadCommands(conn, 1<<20, func(words []string, _ int) error { // until the gateway closes it
					if onCommand != nil {
						onCommand(words)
					}
					_, err := conn.Write(resp.AppendArray(nil, words[1], "ok", "n=1,how=ready", "body"))
					return err
				})
			}()
		}
	}()
	return listener.Addr().String()
}

// roundTrip sends one message and reports whether its answer is not an exception; an error where there is none.
func roundTrip(conn net.Conn, frame []byte) (ok bool, err error) {
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		return false, err
	}
	if _, err := conn.Write(frame); err != nil {
		return false, err
	}
	var length [4]byte
	if _, err := io.ReadFull(conn, length[:]); err != nil {
		return false, err
	}
	answer := make([]byte, binary.BigEndian.Uint32(length[:]))
	if _, err := io.ReadFull(conn, answer); err != nil {
		return false, err
	}
	message, err := thrift.Parse(answer)
	return err == nil && message.Type == thrift.Reply && message.Args[2] == 0, err
}

// healthCheckFrame is a health check.
func healthCheckFrame() []byte {
	w := thrift.NewWriter("alive", thrift.Call, 1)
	w.Bool(1, false)
	return w.Frame()
}

// dispatchFrame is request n, of function n.
func dispatchFrame(n int) []byte { return requestFrame(n, n, 900*time.Millisecond) }

// requestFrame is a request of a function with an id whose client waits for a time.
func requestFrame(id, function int, wait time.Duration) []byte {
	w := thrift.NewWriter("dispatch", thrift.Call, 1)
	w.StringMap(1, "class", "call", "id", fmt.Sprintf("%016x", id), "key", fmt.Sprintf("%016x", function),
		"wait", strconv.FormatInt(wait.Milliseconds(), 10))
	w.Binary(2, nil)
	return w.Frame()
}

// Idle clients occupy every descriptor that they can get while the journal is down, and every worker has been sent
// requests: the gateway goes on serving, gets the endpoint list as soon as the journal is back, and exits with
// status 0.
func TestIdleClientsExhaustDescriptors(t *testing.T) {
	const sockets, workers = 64, 30
	journal, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	journal.Close() // down
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	host := func(name, addr, health string) string {
		return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"z","class":"k","block":0,"health":%q,"share":4,"born_ms":0}`,
			name, addr, health)
	}
	var known, removed []string
	for i := range workers {
		name, addr := fmt.Sprint("w", i), startWorker(t, nil)
		known = append(known, host(name, addr, "up"))
		removed = append(removed, host(name, addr, "removed"))
	}
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"1","journal":%q,
		"limits":{"cores":1,"memory_mb":64,"sockets":%d},
		"known":{"pos":1,"entries":[{"pos":1,"hosts":{"whole":true,"hosts":[%s]}}]},
		"settings":{"index":0,"instances":1,"quantum":0.001,
		"family_info":{"keep":5,"orders":true,"miss_mode":"load","order_limit":4},
		"policy_limits":{"conn_idle":600,"dial_timeout":0.25,"max_streams":32,"send_cap":3},
		"rules":{"stop_sending_within":0.5},"request_classes":[{"name":"call","effect":"pure","aim":0.5,"give_up":1}]}}`,
		listener.Addr(), journal.Addr(), sockets, strings.Join(known, ","))
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	program := exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %q", sockets, os.Args[0]))
	program.Env = append(os.Environ(), programEnv+"=gateway", "GW_CONFIG="+path)
	program.Stderr = os.Stderr
	if err := program.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { program.Process.Kill() })
	deadline := time.Now().Add(time.Minute)
	dial := func() net.Conn {
		for time.Now().Before(deadline) {
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err == nil {
				return conn
			}
			time.Sleep(5 * time.Millisecond) // it is still starting
		}
		t.Fatal("nobody listens")
		return nil
	}
	request := func(frame []byte) (bool, error) {
		conn := dial()
		defer conn.Close()
		return roundTrip(conn, frame)
	}
	idleClients := func() {
		for range 2 * sockets {
			conn := dial()
			t.Cleanup(func() { conn.Close() })
			if ok, err := roundTrip(conn, healthCheckFrame()); err != nil || !ok {
				t.Error("not alive:", ok, err)
			}
		}
	}
	idleClients()
	for n := range 10 * workers { // of enough functions that each worker gets some
		if ok, err := request(dispatchFrame(n)); err != nil || !ok {
			t.Error("request", n, "completed:", ok, err)
		}
	}
	idleClients()
	polled := make(chan struct{}, 1000)
	last := startWorker(t, nil)
	service := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("tail") == "1" {
			fmt.Fprintf(w, `{"pos":2,"entries":[{"pos":2,"hosts":{"whole":false,"hosts":[%s,%s]}}]}`,
				strings.Join(removed, ","), host("new", last, "up"))
			return
		}
		polled <- struct{}{} // it has event 2
		<-r.Context().Done()
	}))
	service.Listener.Close()
	if service.Listener, err = net.Listen("tcp", journal.Addr().String()); err != nil {
		t.Fatal(err)
	}
	service.Start()
	defer service.Close()
	select {
	case <-polled:
	case <-time.After(20 * time.Second):
		t.Fatal("the endpoint list does not arrive")
	}
	if ok, err := request(dispatchFrame(1 << 20)); err != nil || !ok {
		t.Error("after that, completed:", ok, err)
	}
	if err := program.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := program.Wait(); err != nil {
		t.Error(err)
	}
}
