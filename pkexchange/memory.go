package pkexchange

import (
	"slices"
	"sync"

	"peridotknot.example/pkid"
)

// maxAnswered is how many answered requests a connection remembers: a surplus response comes before those of later
// requests, so it is found soon.
const maxAnswered = 8

// Memory is what a connection remembers of the requests that were answered over it; the zero value is of a new one.
type Memory struct {
	mu       sync.Mutex
	answered []pkid.RequestID
}

// Answered records that a response to a request came over the connection. A second one may still come, and would be
// taken for the response if the request were sent again over it.
func (m *Memory) Answered(id pkid.RequestID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.answered) == maxAnswered {
		m.answered = slices.Delete(m.answered, 0, 1)
	}
	m.answered = append(m.answered, id)
}

// MayCarry reports whether a request may be sent over the connection.
func (m *Memory) MayCarry(id pkid.RequestID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return id == "" || !slices.Contains(m.answered, id)
}
