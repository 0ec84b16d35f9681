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
func TestRecallCrossesTheAnswer(t *testing.T) {
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
					_, err := conn.Write(resp.Append(nil, words[1], "ok", "-", ""))
					return err
				})
			})
		}
	})
	ctx, stop := context.WithCancel(context.Background())
	pool := resp.NewPool(ctx, resp.Limits{Dial: time.Second, Idle: 50 * time.Millisecond, Streams: 4, Conns: 4, Most: 8, Word: 1 << 16})
	worker := pool.Worker(listener.Addr().String())
	const calls = 500
	fates := map[resp.Fate]int{}
	for i := range calls {
		done := make(chan resp.Answer, 2)
		id := fmt.Sprint("c", i)
		call := worker.Call(id, resp.Fixed(resp.Append(nil, "FN", id)), i%2 == 0, func(a resp.Answer) { done <- a })
		time.Sleep(time.Duration(i%10) * 20 * time.Microsecond)
		var kill []byte
		if i%3 == 0 {
			kill = resp.Append(nil, "KILL", id)
		}
		go call.Recall(kill)
		call.Recall(kill)
		fates[(<-done).Fate]++
		if len(done) > 0 {
			t.Fatal("a second end of", id)
		}
	}
	if fates[resp.Answered] == 0 || fates[resp.Answered] == calls {
		t.Errorf("nothing has crossed: %v", fates)
	}
	pool.Settled(0)
	stop()
	pool.Wait()
	listener.Close()
	served.Wait()
}
