package gateway

import (
	"sync"
	"time"
)

// mailbox passes messages from any goroutine to the event loop. It holds at most two messages for each request that a
// server has submitted and that is not done, and those of the calls to workers. Servers bound the number of these
// requests: a connection stops reading while too many of its requests, cancelled ones included, are not done.
type mailbox struct {
	ready chan struct{} // holds a token when there may be messages

	mu         sync.Mutex
	messages   []func(now time.Duration)
	oldestAt   time.Time // when the oldest message was put, if there are messages
	peakLength int
	peakAge    time.Duration
}

// MailboxState describes the messages that wait for the event loop.
type MailboxState struct {
	Length     int
	Age        time.Duration // time since the oldest message was put
	PeakLength int           // largest length since the start
	PeakAge    time.Duration // largest age, since the start, at which a message was taken
}

// put adds a message. The event loop calls it with the time on the core's clock at which it is taken from the mailbox.
func (m *mailbox) put(message func(now time.Duration)) {
	m.mu.Lock()
	if len(m.messages) == 0 {
		m.oldestAt = time.Now()
	}
	m.messages = append(m.messages, message)
	m.peakLength = max(m.peakLength, len(m.messages))
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
	if len(messages) > 0 {
		m.peakAge = max(m.peakAge, time.Since(m.oldestAt))
	}
	return messages
}

func (m *mailbox) state() MailboxState {
	m.mu.Lock()
	defer m.mu.Unlock()
	state := MailboxState{Length: len(m.messages), PeakLength: m.peakLength, PeakAge: m.peakAge}
	if state.Length > 0 {
		state.Age = time.Since(m.oldestAt)
	}
	return state
}
