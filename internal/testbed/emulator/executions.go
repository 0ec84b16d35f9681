package emulator

import (
	"strings"
	"sync"

	"lupinpond/internal/workerrpc"
)

// ExecutionLog records what ran at workers.
type ExecutionLog struct {
	mu         sync.Mutex
	executions map[string]*execution // by the client's request
}

// execution is how often one request ran.
type execution struct {
	requestType string
	count       int
}

// NewExecutionLog makes an empty log.
func NewExecutionLog() *ExecutionLog { return &ExecutionLog{executions: map[string]*execution{}} }

// Duplicates lists the requests of a type that ran more than once, by the client's name of the request.
func (l *ExecutionLog) Duplicates(requestType string) (names []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, execution := range l.executions {
		if execution.requestType == requestType && execution.count > 1 {
			names = append(names, name)
		}
	}
	return names
}

func (l *ExecutionLog) record(attempt *workerrpc.Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	name := requestName(attempt.ClientRequestID)
	if l.executions[name] == nil {
		l.executions[name] = &execution{requestType: attempt.Type}
	}
	l.executions[name].count++
}

// requestName is the client's request behind the name of one of its attempts, which ends in a full stop and a number.
func requestName(attemptName string) string {
	if i := strings.LastIndexByte(attemptName, '.'); i > 0 {
		return attemptName[:i]
	}
	return attemptName
}
