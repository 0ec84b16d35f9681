package localfleet

import (
	"bufio"
	"os"
	"strings"
)

// executionPrefix begins a line that the example packages write for each execution.
const executionPrefix = "effect "

// CountExecutions counts what ran at the workers, by request, from the log that the packages write.
func CountExecutions(path string) (map[string]int, error) {
	log, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	counts := map[string]int{}
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		if name, is := strings.CutPrefix(lines.Text(), executionPrefix); is {
			counts[name]++
		}
	}
	return counts, lines.Err()
}
