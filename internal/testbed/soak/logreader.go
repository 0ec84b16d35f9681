package soak

import (
	"bytes"
	"encoding/json"
	"os"
)

// invariantMessage is the message that gateways log when one of their invariants is violated.
const invariantMessage = "invariant violated"

// logReader writes a gateway's log to a file, and records a violation for each line that reports a violated invariant.
type logReader struct {
	gateway *gatewayProcess
	file    *os.File
	buffer  []byte
}

// Write handles the next part of the log, which may end within a line.
func (l *logReader) Write(part []byte) (int, error) {
	l.buffer = append(l.buffer, part...)
	for {
		line, rest, found := bytes.Cut(l.buffer, []byte("\n"))
		if !found {
			break
		}
		l.buffer = rest
		l.handleLine(line)
	}
	return l.file.Write(part)
}

func (l *logReader) handleLine(line []byte) {
	var entry map[string]any
	if json.Unmarshal(line, &entry) != nil || entry["msg"] != invariantMessage {
		return
	}
	requestID, _ := entry["request"].(string)
	l.gateway.checker.recordViolation(InvariantViolated, l.gateway.name, requestID, "%s", line)
}
