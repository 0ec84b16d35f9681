package emulator

import (
	"strings"
	"sync"

	"lupinpond/internal/workerrpc"
)

// ExecutionLog records the executions of requests at workers.
type ExecutionLog struct {
	mu         sync.Mutex
	executions map[string]*execution // by the ID of the client's request
}

// execution is the number of executions of one request.
type execution struct {
	requestType string
	count       int
}

// NewExecutionLog returns an empty log.
func NewExecutionLog() *ExecutionLog { return &ExecutionLog{executions: map[string]*execution{}} }

// Duplicates returns the IDs of the clients' requests of a type that were executed more than once.
func (l *ExecutionLog) Duplicates(requestType string) (ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, execution := range l.executions {
		if execution.requestType == requestType && execution.count > 1 {
			ids = append(ids, id)
		}
	}
	return ids
}

func (l *ExecutionLog) record(attempt *workerrpc.Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := originalRequestID(attempt.ClientRequestID)
	if l.executions[id] == nil {
		l.executions[id] = &execution{requestType: attempt.Type}
	}
	l.executions[id].count++
}

// originalRequestID returns the ID of the client's request from the ID of an attempt, which has a dot and a number
// appended.
func originalRequestID(attemptID string) string {
	if i := strings.LastIndexByte(attemptID, '.'); i > 0 {
		return attemptID[:i]
	}
	return attemptID
}
