// Command misbehave is an example package that does what its input says: echo, fail, spin, allocate, panic, exit, flood,
// sleep. It writes "effect INPUT" to its log before anything else, so that tests can count what ran.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"lupinpond/function"
)

var kept [][]byte // what allocate holds

func init() {
	function.Handle(func(_ context.Context, input []byte) ([]byte, error) {
		fmt.Fprintf(os.Stderr, "effect %s\n", input)
		what, rest, _ := strings.Cut(string(input), " ")
		switch what {
		case "fail":
			return nil, errors.New("told to fail")
		case "spin":
			//lint:ignore SA5002 a function that never ends and uses a whole core is what tests ask for here
			for {
			}
		case "allocate":
			for {
				b := make([]byte, 4<<20)
				for i := range b {
					b[i] = byte(i)
				}
				kept = append(kept, b)
			}
		case "hold":
			b := make([]byte, 8<<20)
			for i := range b {
				b[i] = byte(i)
			}
			kept = append(kept, b)
		case "panic":
			panic("told to panic")
		case "exit":
			os.Exit(3)
		case "flood":
			return make([]byte, 1<<30), nil
		case "sleep":
			d, err := time.ParseDuration(rest)
			if err != nil {
				return nil, err
			}
			time.Sleep(d)
		}
		return input, nil
	})
}

func main() { function.MainConcurrent(2) }
