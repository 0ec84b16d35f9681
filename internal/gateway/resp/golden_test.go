package resp_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"lupinpond/internal/gateway/resp"
)

// goldenCommands holds the commands sent to workers, as elements and as exact bytes on the wire.
var goldenCommands = []struct {
	elements []string
	wire     string
}{
	{[]string{"FN", "00000000000000a1", "class=pay,key=7f3a9c21e0b4d655,wait=1500,once=m1", "body\r\nbytes"},
		"*4\r\n$2\r\nFN\r\n$16\r\n00000000000000a1\r\n" +
			"$48\r\nclass=pay,key=7f3a9c21e0b4d655,wait=1500,once=m1\r\n$11\r\nbody\r\nbytes\r\n"},
	{[]string{"FN", "00000000000000a2", "class=pay,key=7f3a9c21e0b4d655,wait=1", ""},
		"*4\r\n$2\r\nFN\r\n$16\r\n00000000000000a2\r\n$37\r\nclass=pay,key=7f3a9c21e0b4d655,wait=1\r\n$0\r\n\r\n"},
	{[]string{"KILL", "00000000000000a1"}, "*2\r\n$4\r\nKILL\r\n$16\r\n00000000000000a1\r\n"},
	{[]string{"SPAWN", "t1", "key=7f3a9c21e0b4d655,n=2"},
		"*3\r\n$5\r\nSPAWN\r\n$2\r\nt1\r\n$24\r\nkey=7f3a9c21e0b4d655,n=2\r\n"},
	{[]string{"TOP", "t2"}, "*2\r\n$3\r\nTOP\r\n$2\r\nt2\r\n"},
}

// AppendArray must encode commands to exactly the golden bytes, and ReadCommands must decode them to the same elements.
func TestGoldenCommands(t *testing.T) {
	var stream strings.Builder
	for _, c := range goldenCommands {
		if got := string(resp.AppendArray(nil, c.elements...)); got != c.wire {
			t.Errorf("%q:\n got %q\nwant %q", c.elements, got, c.wire)
		}
		stream.WriteString(c.wire)
	}
	i := 0
	err := resp.ReadCommands(strings.NewReader(stream.String()), 64, func(elements []string, size int) error {
		want := goldenCommands[i]
		if fmt.Sprintf("%q", elements) != fmt.Sprintf("%q", want.elements) || size != len(want.wire) {
			t.Errorf("command %d:\n got %q, %d bytes\nwant %q, %d bytes", i, elements, size, want.elements, len(want.wire))
		}
		i++
		return nil
	})
	if !errors.Is(err, io.EOF) || i != len(goldenCommands) {
		t.Errorf("got %d commands, %v\nwant %d, EOF", i, err, len(goldenCommands))
	}
}

// The connection must carry exactly the bytes of the request and, after a cancellation, of the cancel command.
func TestGoldenConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	ctx, stop := context.WithCancel(context.Background())
	pool := resp.NewPool(ctx, limits)
	defer pool.Wait()
	defer stop()
	request, cancel := goldenCommands[0], goldenCommands[2]
	done := make(chan resp.Result, 1)
	call := pool.Worker(listener.Addr().String()).Call(request.elements[1], resp.FixedMessage([]byte(request.wire)),
		resp.Exclusive, func(result resp.Result) { done <- result })
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len(request.wire))
	if _, err := io.ReadFull(conn, got); err != nil || string(got) != request.wire {
		t.Fatalf(" got %q, %v\nwant %q", got, err, request.wire)
	}
	call.Cancel([]byte(cancel.wire))
	rest, err := io.ReadAll(conn) // a connection with a cancelled call is closed after the cancel command
	if err != nil || string(rest) != cancel.wire {
		t.Errorf(" got %q, %v\nwant %q", rest, err, cancel.wire)
	}
	if result := <-done; result.Outcome != resp.Cancelled {
		t.Errorf("got outcome %v, want %v", result.Outcome, resp.Cancelled)
	}
}

// Responses of workers must be decoded to their elements, and the third element to its name=value pairs.
func TestGoldenResponses(t *testing.T) {
	for _, c := range []struct{ wire, elements, pairs string }{
		{"*4\r\n$16\r\n00000000000000a1\r\n$2\r\nok\r\n$38\r\nhow=ready,stats=busy_reqs:1;pending:0,x\r\n$4\r\ndone\r\n",
			"", ""},
		{"*4\r\n$2\r\na1\r\n$2\r\nok\r\n$37\r\nhow=ready,stats=busy_reqs:1;pending:0\r\n$6\r\ndo\r\nne\r\n",
			`["a1" "ok" "how=ready,stats=busy_reqs:1;pending:0" "do\r\nne"]`, "map[how:ready stats:busy_reqs:1;pending:0]"},
		{"*4\r\n$2\r\na1\r\n$7\r\nnothing\r\n$1\r\n-\r\n$0\r\n\r\n", `["a1" "nothing" "-" ""]`, "map[]"},
		{"*4\r\n$2\r\na1\r\n$7\r\nrefused\r\n$1\r\n-\r\n$0\r\n\r\n", `["a1" "refused" "-" ""]`, "map[]"},
		{"*4\r\n$2\r\na1\r\n$5\r\nstale\r\n$1\r\n-\r\n$0\r\n\r\n", `["a1" "stale" "-" ""]`, "map[]"},
		{"*4\r\n$2\r\na1\r\n$5\r\nerror\r\n$12\r\nhow=no_image\r\n$0\r\n\r\n",
			`["a1" "error" "how=no_image" ""]`, "map[how:no_image]"},
		{"*4\r\n$2\r\nt1\r\n$2\r\nok\r\n$3\r\nn=2\r\n$0\r\n\r\n", `["t1" "ok" "n=2" ""]`, "map[n:2]"},
		{"*3\r\n$2\r\nt2\r\n$3\r\nyes\r\n$15\r\nstats=pending:3\r\n",
			`["t2" "yes" "stats=pending:3"]`, "map[stats:pending:3]"},
		{"*2\r\n$2\r\nt2\r\n$2\r\nno\r\n", `["t2" "no"]`, ""},
	} {
		elements, consumed, err := resp.ParseArray([]byte(c.wire), 64)
		if c.elements == "" { // a length does not match its element
			if !errors.Is(err, resp.ErrMalformed) {
				t.Errorf("%q:\n got %q, %v\nwant %v", c.wire, elements, err, resp.ErrMalformed)
			}
			continue
		}
		if got := fmt.Sprintf("%q", elements); err != nil || consumed != len(c.wire) || got != c.elements {
			t.Errorf("%q:\n got %s, %d bytes, %v\nwant %s, %d bytes", c.wire, got, consumed, err, c.elements, len(c.wire))
			continue
		}
		if len(elements) > 2 {
			if got := fmt.Sprint(resp.ParsePairs(string(elements[2]))); got != c.pairs {
				t.Errorf("%q:\n got %s\nwant %s", elements[2], got, c.pairs)
			}
		}
	}
}
