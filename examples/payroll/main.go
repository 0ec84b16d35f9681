// Command payroll is the example package that scenarios run. Its input is "NAME WORK", where WORK is a duration. It
// writes "effect NAME" to its log, sleeps for the duration instead of computing, because one machine doesn't have the
// cores of a fleet, and returns a result. Scenarios count the log lines to detect requests that ran twice.
package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"lupinpond/function"
)

func init() {
	function.Handle(func(_ context.Context, input []byte) ([]byte, error) {
		name, work, found := strings.Cut(string(input), " ")
		duration, err := time.ParseDuration(work)
		if !found || err != nil {
			return nil, fmt.Errorf("input %q is not NAME WORK", input)
		}
		fmt.Fprintf(os.Stderr, "effect %s\n", name)
		time.Sleep(duration)
		return fmt.Appendf(nil, "%s released", name), nil
	})
}

func main() { function.MainConcurrent(4) }
