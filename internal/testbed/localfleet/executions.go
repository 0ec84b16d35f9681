package localfleet

import (
	"bufio"
	"os"
	"strings"
)

// executionPrefix is the prefix of the log line that the example packages write for each execution. The request's name
// follows it.
const executionPrefix = "effect "

// CountExecutions returns the number of executions of each request, by its name, from the log that the replicas of the
// example packages write.
func CountExecutions(path string) (map[string]int, error) {
	log, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	counts := map[string]int{}
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		if name, ok := strings.CutPrefix(lines.Text(), executionPrefix); ok {
			counts[name]++
		}
	}
	return counts, lines.Err()
}
