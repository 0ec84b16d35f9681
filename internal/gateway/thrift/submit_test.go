package thrift_test

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"lupinpond/internal/gateway/thrift"
)

// stagingServer is a server that stages its calls. It accepts connections once listener.opened is closed.
type stagingServer struct {
	listener  *gatedListener
	submitted chan int32
	discarded chan int32
	cancelled chan int32
	conns     chan *thrift.Conn // connections of the submitted calls
}

// startStagingServer starts a server, which stops at the end of the test.
func startStagingServer(t *testing.T, limits thrift.Limits) *stagingServer {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &stagingServer{
		listener:  &gatedListener{inner.(*net.TCPListener), make(chan struct{}), nil},
		submitted: make(chan int32, 1000),
		discarded: make(chan int32, 1000),
		cancelled: make(chan int32, 1000),
		conns:     make(chan *thrift.Conn, 1000),
	}
	server := thrift.NewServer(s.listener, limits, func(c *thrift.Conn, m thrift.Message) {
		if m.Type == thrift.Oneway {
			args, _ := thrift.ReadArgs(m.Args)
			c.CancelCall(args.Ints[1])
			return
		}
		if !c.BeginCall(m.SeqID, func() { s.cancelled <- m.SeqID }) {
			t.Error("BeginCall rejected call", m.SeqID)
			return
		}
		submit := func() {
			s.conns <- c
			s.submitted <- m.SeqID
		}
		c.SubmitLater(m.SeqID, submit, func() { s.discarded <- m.SeqID })
	})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return s
}

// await returns the sequence ID that the channel provides next.
func await(t *testing.T, ids <-chan int32) int32 {
	t.Helper()
	select {
	case id := <-ids:
		return id
	case <-time.After(20 * time.Second):
		t.Fatal("nothing happened within 20 s")
		return 0
	}
}

func cancelFrame(seqID int32) []byte {
	w := thrift.NewWriter("cancelRequest", thrift.Oneway, seqID)
	w.I32(1, seqID)
	return w.Frame()
}

// TestCallCancelledBehindItIsNotSubmitted guards against work for a call whose cancellation has already arrived.
func TestCallCancelledBehindItIsNotSubmitted(t *testing.T) {
	s := startStagingServer(t, limits)
	conn := dial(t, s.listener.Addr().String())
	write(t, conn, callFrame(1, "a"), cancelFrame(1), callFrame(2, "b"))
	close(s.listener.opened)
	if id := await(t, s.discarded); id != 1 {
		t.Errorf("call %d was discarded, want 1", id)
	}
	if id := await(t, s.submitted); id != 2 {
		t.Errorf("call %d was submitted, want 2", id)
	}
}

// TestCallsOfClosedConnectionAreNotSubmitted guards against work for calls whose client has closed its connection, with
// much unread, when the first of them is read.
func TestCallsOfClosedConnectionAreNotSubmitted(t *testing.T) {
	const calls = 31
	wide := limits
	wide.MaxFrameBytes, wide.MaxOpenCalls = 16<<10, 32
	body := string(bytes.Repeat([]byte("x"), 1<<10))
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			s := startStagingServer(t, wide)
			conn := dial(t, s.listener.Addr().String())
			for i := range calls {
				write(t, conn, callFrame(int32(i+1), body))
			}
			if reset {
				if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
					t.Fatal(err)
				}
			}
			conn.Close()
			last := dial(t, s.listener.Addr().String())
			write(t, last, callFrame(1, "a"))
			close(s.listener.opened)
			await(t, s.submitted) // of the last connection
			if !reset {
				for range calls {
					await(t, s.discarded)
				}
			}
			if len(s.submitted) > 0 || len(s.cancelled) > 0 {
				t.Errorf("%d calls were submitted, %d of these cancelled", len(s.submitted), len(s.cancelled))
			}
		})
	}
}

// TestUnreleasedCallsAreBounded guards against unbounded work for a client that cancels each call when it has been
// submitted: the calls that are not released yet must not exceed a multiple of those that may be open.
func TestUnreleasedCallsAreBounded(t *testing.T) {
	s := startStagingServer(t, limits)
	close(s.listener.opened)
	conn := dial(t, s.listener.Addr().String())
	write(t, conn, callFrame(1, "a"))
	for seqID := int32(1); seqID < 4; seqID++ {
		await(t, s.submitted)
		write(t, conn, cancelFrame(seqID), callFrame(seqID+1, "a"))
	}
	await(t, s.submitted)
	write(t, conn, cancelFrame(4), callFrame(5, "a"))
	for range 10 { // by then the first connection would have been read again
		other := dial(t, s.listener.Addr().String())
		write(t, other, callFrame(100, "a"))
		if id := await(t, s.submitted); id != 100 {
			t.Fatalf("call %d was submitted while 4 calls are not released", id)
		}
		other.Close()
		await(t, s.cancelled)
	}
	(<-s.conns).Release()
	if id := await(t, s.submitted); id != 5 {
		t.Errorf("call %d was submitted, want 5", id)
	}
}
