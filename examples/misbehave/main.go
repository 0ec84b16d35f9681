// Command misbehave is an example package for tests of failures. The first word of its input selects what it does:
// fail, spin, allocate, hold, panic, exit, flood or sleep. It returns any other input unchanged. Before anything else,
// it writes "effect INPUT" to its log, so that tests can count how often each request ran.
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
	allocationBytes = 4 << 20 // memory that each iteration of allocate allocates
	holdBytes       = 8 << 20 // memory that hold allocates and keeps
	floodBytes      = 1 << 30 // size of the response of flood
	exitStatus      = 3       // exit status of the process after exit
)

// retained references the memory that allocate and hold have allocated, so that it is never freed.
var retained [][]byte

func init() { function.Handle(misbehave) }

func main() { function.MainConcurrent(2) }

// misbehave does what the first word of its input selects, and returns the input if it gets that far.
func misbehave(_ context.Context, input []byte) ([]byte, error) {
	fmt.Fprintf(os.Stderr, "effect %s\n", input)
	action, argument, _ := strings.Cut(string(input), " ")
	switch action {
	case "fail":
		return nil, errors.New("told to fail")
	case "spin":
		//lint:ignore SA5002 tests need a function that never returns and uses a whole core
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
		duration, err := time.ParseDuration(argument)
		if err != nil {
			return nil, err
		}
		time.Sleep(duration)
	}
	return input, nil
}

// retain allocates memory that is never freed. It writes to all of it, because unwritten pages would not be resident.
func retain(size int) {
	block := make([]byte, size)
	for i := range block {
		block[i] = byte(i)
	}
	retained = append(retained, block)
}
