package pkedge

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an entry that is served a second late: a regular message must not replace one that
// holds what the entry lacks while it waits for the connection.
func TestARegularMessageDoesNotReplaceACatchUp(t *testing.T) {
	l := &peerLink{out: make(chan outgoing, 1)}
	l.enqueue(outgoing{raw: []byte("first")})
	l.enqueue(outgoing{raw: []byte("lists"), catchUp: true})
	assert.Assert(t, l.incomplete)
	l.enqueue(outgoing{raw: []byte("second")})
	assert.Assert(t, l.incomplete, "the peer missed the second message")
	assert.Equal(t, string((<-l.out).raw), "lists")

	l.enqueue(outgoing{raw: []byte("old lists"), catchUp: true})
	l.enqueue(outgoing{raw: []byte("new lists"), catchUp: true})
	assert.Equal(t, string((<-l.out).raw), "new lists")
}
