package soak

import (
	"bytes"
	"encoding/json"
	"os"
)

// invariantMessage is the log message of a violated invariant.
const invariantMessage = "invariant violated"

// logReader takes the lines of a gateway's log: those of violated invariants are violations, all go to a file.
type logReader struct {
	gateway *gatewayProcess
	file    *os.File
	buffer  []byte
}

// Write takes a part of the log.
func (l *logReader) Write(part []byte) (int, error) {
	l.buffer = append(l.buffer, part...)
	for {
		line, rest, is := bytes.Cut(l.buffer, []byte("\n"))
		if !is {
			break
		}
		l.buffer = rest
		l.line(line)
	}
	return l.file.Write(part)
}

func (l *logReader) line(line []byte) {
	var entry map[string]any
	if json.Unmarshal(line, &entry) != nil || entry["msg"] != invariantMessage {
		return
	}
	requestID, _ := entry["request"].(string)
	l.gateway.checker.violated(InvariantViolated, l.gateway.name, requestID, "%s", line)
}
