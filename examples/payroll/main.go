// Command payroll is the example package that scenarios run: its input is "NAME WORK", it writes "effect NAME" to its
// log, waits for so long in place of work, as one machine has not the cores of a fleet, and answers. What it writes is
// counted, so that nothing runs twice unseen.
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
