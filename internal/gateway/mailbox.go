package gateway

import (
	"sync"
	"time"
)

// mailbox passes messages from any goroutine to the event loop. Its length is bounded by the number of requests in
// flight and of calls to workers.
type mailbox struct {
	mu       sync.Mutex
	messages []func(now time.Duration)
	ready    chan struct{} // holds a token when there may be messages
}

// put adds a message. The event loop calls it with the time on the core's clock at which it is taken from the mailbox.
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
