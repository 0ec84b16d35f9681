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

// The test's own program is the gateway where this is set, to its name and arguments.
const programEnv = "LPGATE_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if args := os.Getenv(programEnv); args != "" {
		os.Args = strings.Fields(args)
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// startWorker answers every command well, after saw, which may be nil, was told of it; it tells its address.
func startWorker(t *testing.T, saw func(words []string)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_ = resp.ReadCommands(conn, 1<<20, func(words []string, _ int) error { // until the front end ends it
					if saw != nil {
						saw(words)
					}
					_, err := conn.Write(resp.AppendArray(nil, words[1], "ok", "n=1,how=ready", "body"))
					return err
				})
			}()
		}
	}()
	return l.Addr().String()
}

// roundTrip sends one message and tells whether its answer was not an exception; an error where none came.
func roundTrip(conn net.Conn, frame []byte) (good bool, err error) {
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		return false, err
	}
	if _, err := conn.Write(frame); err != nil {
		return false, err
	}
	var head [4]byte
	if _, err := io.ReadFull(conn, head[:]); err != nil {
		return false, err
	}
	b := make([]byte, binary.BigEndian.Uint32(head[:]))
	if _, err := io.ReadFull(conn, b); err != nil {
		return false, err
	}
	m, err := thrift.Parse(b)
	return err == nil && m.Type == thrift.Reply && m.Args[2] == 0, err
}

func healthCheckFrame() []byte {
	w := thrift.NewWriter("alive", thrift.Call, 1)
	w.Bool(1, false)
	return w.Frame()
}

func dispatchFrame(n int) []byte { return requestFrame(n, n, 900*time.Millisecond) }

// requestFrame is a request of a function under an id that its client waits for so long.
func requestFrame(id, function int, wait time.Duration) []byte {
	w := thrift.NewWriter("dispatch", thrift.Call, 1)
	w.StringMap(1, "class", "call", "id", fmt.Sprintf("%016x", id), "key", fmt.Sprintf("%016x", function), "wait", strconv.FormatInt(wait.Milliseconds(), 10))
	w.Binary(2, nil)
	return w.Frame()
}

// Idle clients take every descriptor that they can get while the journal is down, and every worker has been asked: the front
// end goes on serving, hears of the list as soon as the journal is back, and ends with status 0.
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
		return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"z","class":"k","block":0,"health":%q,"share":4,"born_ms":0}`, name, addr, health)
	}
	var known, gone []string
	for i := range workers {
		addr := startWorker(t, nil)
		known, gone = append(known, host(fmt.Sprint("w", i), addr, "up")), append(gone, host(fmt.Sprint("w", i), addr, "removed"))
	}
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"1","journal":%q,"limits":{"cores":1,"memory_mb":64,"sockets":%d},
		"known":{"pos":1,"entries":[{"pos":1,"hosts":{"whole":true,"hosts":[%s]}}]},
		"settings":{"index":0,"instances":1,"quantum":0.001,"family_info":{"keep":5,"orders":true,"miss_mode":"load","order_limit":4},
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
	end := time.Now().Add(time.Minute)
	dial := func() net.Conn {
		for time.Now().Before(end) {
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err == nil {
				return conn
			}
			time.Sleep(5 * time.Millisecond) // it is still starting
		}
		t.Fatal("nobody listens")
		return nil
	}
	ask := func(frame []byte) (bool, error) {
		conn := dial()
		defer conn.Close()
		return roundTrip(conn, frame)
	}
	idle := func() {
		for range 2 * sockets {
			conn := dial()
			t.Cleanup(func() { conn.Close() })
			if good, err := roundTrip(conn, healthCheckFrame()); err != nil || !good {
				t.Error("not alive:", good, err)
			}
		}
	}
	idle()
	for n := range 10 * workers { // of so many functions that each worker gets some
		if good, err := ask(dispatchFrame(n)); err != nil || !good {
			t.Error("event", n, "handled:", good, err)
		}
	}
	idle()
	heard := make(chan struct{}, 1000)
	last := startWorker(t, nil)
	service := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("tail") == "1" {
			fmt.Fprintf(w, `{"pos":2,"entries":[{"pos":2,"hosts":{"whole":false,"hosts":[%s,%s]}}]}`, strings.Join(gone, ","), host("new", last, "up"))
			return
		}
		heard <- struct{}{} // it has event 2
		<-r.Context().Done()
	}))
	service.Listener.Close()
	if service.Listener, err = net.Listen("tcp", journal.Addr().String()); err != nil {
		t.Fatal(err)
	}
	service.Start()
	defer service.Close()
	select {
	case <-heard:
	case <-time.After(20 * time.Second):
		t.Fatal("the list is not heard of")
	}
	if good, err := ask(dispatchFrame(1 << 20)); err != nil || !good {
		t.Error("after that, handled:", good, err)
	}
	if err := program.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := program.Wait(); err != nil {
		t.Error(err)
	}
}
