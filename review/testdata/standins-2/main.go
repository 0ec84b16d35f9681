// Command standins-2 plays the cases of the second review: it starts the project's programs and has small stand-ins of
// clients, workers and the journal service. It ends with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// longestRun is the time after which a run is given up.
const longestRun = 115 * time.Second

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE RECORD")
		os.Exit(2)
	}
	play := cases[os.Args[1]]
	if play == nil {
		cannotRun("no case %q", os.Args[1])
	}
	rec := newRecord(os.Args[2])
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-stop:
			cannotRun("stopped by a signal")
		case <-time.After(longestRun):
			cannotRun("the run took longer than %v", longestRun)
		}
	}()
	runtime.LockOSThread()
	broken := play(rec, os.Getenv("TROUBLE") != "0")
	endAll()
	if broken {
		rec.line("RESULT: the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	rec.line("RESULT: the rule held")
	fmt.Println("the rule held")
}
