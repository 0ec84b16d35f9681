package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"lupinpond/internal/gateway/resp"
	"lupinpond/internal/gateway/thrift"
)

// startWorker starts a worker that answers every command with success, and returns its address. Before each answer it
// calls onCommand, which may be nil, with the command.
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
				_ = resp.ReadCommands(conn, 1<<20, func(words []string, _ int) error { // ends when the gateway closes conn
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

// roundTrip sends one message and reports whether the answer is a success and no exception. It returns an error if no
// valid answer arrives.
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

// healthCheckFrame returns the frame of a health check.
func healthCheckFrame() []byte {
	w := thrift.NewWriter("alive", thrift.Call, 1)
	w.Bool(1, false)
	return w.Frame()
}

// dispatchFrame returns the frame of request n, which calls function n.
func dispatchFrame(n int) []byte { return requestFrame(n, n, 900*time.Millisecond) }

// requestFrame returns the frame of a request with an ID, which calls a function and whose client waits at most wait.
func requestFrame(id, function int, wait time.Duration) []byte {
	w := thrift.NewWriter("dispatch", thrift.Call, 1)
	w.StringMap(1, "class", "call", "id", fmt.Sprintf("%016x", id), "key", fmt.Sprintf("%016x", function),
		"wait", strconv.FormatInt(wait.Milliseconds(), 10))
	w.Binary(2, nil)
	return w.Frame()
}

// unusedAddr returns a loopback address on which no process listens.
func unusedAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	return listener.Addr().String()
}

// hostJSON returns a worker's entry in the endpoint list of the platform.
func hostJSON(name, addr, health string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"z","class":"k","block":0,"health":%q,"share":4,"born_ms":0}`,
		name, addr, health)
}

// platformConfig holds the values in which the tests' gateway configurations differ.
type platformConfig struct {
	listen, journal string
	sockets         int      // file descriptor limit
	hosts           []string // workers known at the start, from hostJSON
	familyInfo      string   // JSON object with the settings for loading functions
	connIdle        int      // time in seconds after which idle connections are closed
	giveUp          int      // time in seconds after which requests are given up
}

// write writes the gateway's configuration file and returns its path.
func (c platformConfig) write(t *testing.T) (path string) {
	t.Helper()
	content := fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"1","journal":%q,
		"limits":{"cores":1,"memory_mb":64,"sockets":%d},
		"known":{"pos":1,"entries":[{"pos":1,"hosts":{"whole":true,"hosts":[%s]}}]},
		"settings":{"index":0,"instances":1,"quantum":0.001,"family_info":%s,
		"policy_limits":{"conn_idle":%d,"dial_timeout":0.25,"max_streams":32,"send_cap":3},
		"rules":{"stop_sending_within":0.5},
		"request_classes":[{"name":"call","effect":"pure","aim":0.5,"give_up":%d}]}}`,
		c.listen, c.journal, c.sockets, strings.Join(c.hosts, ","), c.familyInfo, c.connIdle, c.giveUp)
	path = filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
