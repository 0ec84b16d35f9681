// Command misbehave is an example package that does what its input says: fail, spin, allocate, hold, panic, exit,
// flood or sleep; it echoes any other. It writes "effect INPUT" to its log before anything else, so that tests can
// count what ran.
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

const (
	allocationBytes = 4 << 20 // of one step of allocate
	holdBytes       = 8 << 20
	floodBytes      = 1 << 30
	exitStatus      = 3
)

// retained is what allocate and hold have allocated: it stays in use.
var retained [][]byte

func init() { function.Handle(misbehave) }

func main() { function.MainConcurrent(2) }

// misbehave does what its input says, and answers its input if it comes to that.
func misbehave(_ context.Context, input []byte) ([]byte, error) {
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
			retain(allocationBytes)
		}
	case "hold":
		retain(holdBytes)
	case "panic":
		panic("told to panic")
	case "exit":
		os.Exit(exitStatus)
	case "flood":
		return make([]byte, floodBytes), nil
	case "sleep":
		duration, err := time.ParseDuration(rest)
		if err != nil {
			return nil, err
		}
		time.Sleep(duration)
	}
	return input, nil
}

// retain allocates memory for good. All of it is written to, as it would not be resident otherwise.
func retain(size int) {
	block := make([]byte, size)
	for i := range block {
		block[i] = byte(i)
	}
	retained = append(retained, block)
}
