package resp_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"lupinpond/internal/gateway/resp"
)

// serveRequests runs a worker that answers every request immediately. stop ends the worker; the pool must be ended
// first.
func serveRequests(t *testing.T) (addr string, stop func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var served sync.WaitGroup
	served.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			served.Go(func() {
				defer conn.Close()
				_ = resp.ReadCommands(conn, 1<<16, func(command []string, _ int) error { // until the pool ends
					if command[0] != "FN" {
						return nil
					}
					_, err := conn.Write(resp.AppendArray(nil, command[1], "ok", "-", ""))
					return err
				})
			})
		}
	})
	return listener.Addr().String(), func() {
		listener.Close()
		served.Wait()
	}
}

// A call that is cancelled at the moment when its response arrives must end exactly once, as answered or cancelled, and
// its connection must be closed afterwards.
func TestCancelRacesWithResponse(t *testing.T) {
	addr, stopWorker := serveRequests(t)
	ctx, stop := context.WithCancel(context.Background())
	pool := resp.NewPool(ctx, resp.Limits{
		IOTimeout:       time.Second,
		IdleTimeout:     50 * time.Millisecond,
		MaxCallsPerConn: 4,
		SoftMaxConns:    4,
		MaxConns:        8,
		MaxElementBytes: 1 << 16,
	})
	worker := pool.Worker(addr)
	const calls = 500
	outcomes := map[resp.Outcome]int{}
	for i := range calls {
		done := make(chan resp.Result, 2)
		id := fmt.Sprint("c", i)
		sharing := resp.Shared
		if i%2 == 0 {
			sharing = resp.Exclusive
		}
		message := resp.FixedMessage(resp.AppendArray(nil, "FN", id))
		call := worker.Call(id, message, sharing, func(result resp.Result) { done <- result })
		time.Sleep(time.Duration(i%10) * 20 * time.Microsecond)
		var command []byte
		if i%3 == 0 {
			command = resp.AppendArray(nil, "KILL", id)
		}
		go call.Cancel(command)
		call.Cancel(command)
		outcomes[(<-done).Outcome]++
		if len(done) > 0 {
			t.Fatal("done was called twice for call", id)
		}
	}
	if outcomes[resp.Answered] == 0 || outcomes[resp.Answered] == calls {
		t.Errorf("no cancellation raced with a response; calls by outcome: %v", outcomes)
	}
	pool.AwaitOpenConns(0)
	stop()
	pool.Wait()
	stopWorker()
}
