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

// A call that is given up as its answer comes ends once, with one of the two, and no connection is held for it in the end.
func TestCancelRacesWithResponse(t *testing.T) {
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
				_ = resp.ReadCommands(conn, 1<<16, func(words []string, _ int) error { // until the pool ends it
					if words[0] != "FN" {
						return nil
					}
					_, err := conn.Write(resp.AppendArray(nil, words[1], "ok", "-", ""))
					return err
				})
			})
		}
	})
	ctx, stop := context.WithCancel(context.Background())
	pool := resp.NewPool(ctx, resp.Limits{IOTimeout: time.Second, IdleTimeout: 50 * time.Millisecond, MaxCallsPerConn: 4, SoftMaxConns: 4, MaxConns: 8, MaxElementBytes: 1 << 16})
	worker := pool.Worker(listener.Addr().String())
	const calls = 500
	fates := map[resp.Outcome]int{}
	for i := range calls {
		done := make(chan resp.Result, 2)
		id := fmt.Sprint("c", i)
		call := worker.Call(id, resp.FixedMessage(resp.AppendArray(nil, "FN", id)), i%2 == 0, func(a resp.Result) { done <- a })
		time.Sleep(time.Duration(i%10) * 20 * time.Microsecond)
		var kill []byte
		if i%3 == 0 {
			kill = resp.AppendArray(nil, "KILL", id)
		}
		go call.Cancel(kill)
		call.Cancel(kill)
		fates[(<-done).Outcome]++
		if len(done) > 0 {
			t.Fatal("a second end of", id)
		}
	}
	if fates[resp.Answered] == 0 || fates[resp.Answered] == calls {
		t.Errorf("nothing has crossed: %v", fates)
	}
	pool.AwaitOpenConns(0)
	stop()
	pool.Wait()
	listener.Close()
	served.Wait()
}
