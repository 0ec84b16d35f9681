package gateway

import (
	"sync"
	"time"
)

// mailbox carries messages from any goroutine to the event loop. What may be in it is bounded by the requests in
// flight and the calls to workers.
type mailbox struct {
	mu       sync.Mutex
	messages []func(now time.Duration)
	ready    chan struct{} // holds a token while there may be messages
}

// put adds a message; the event loop calls it with the core's time at which it is taken out.
func (m *mailbox) put(message func(now time.Duration)) {
	m.mu.Lock()
	m.messages = append(m.messages, message)
	m.mu.Unlock()
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// take removes and returns all messages, oldest first.
func (m *mailbox) take() []func(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	messages := m.messages
	m.messages = nil
	return messages
}
