package pkcensus

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against two processes of one entry that both take its key for theirs, and against one that stays without a key
// once the other has ended.
func TestKeyThatAnotherProcessReplaces(t *testing.T) {
	var k OwnKey
	k.See(3, false)
	assert.Assert(t, k.IsReplaced(), "the key of a process before")
	k.Write(5)
	k.See(3, false)
	k.Delete(4)
	assert.Assert(t, !k.IsReplaced() && !k.IsDeleted(), "read before it was written")
	k.See(7, false)
	assert.Assert(t, k.IsReplaced() && !k.IsDeleted())
	k.Delete(9)
	assert.Assert(t, !k.IsReplaced() && k.IsDeleted())
	k.Write(10)
	assert.Assert(t, !k.IsReplaced() && !k.IsDeleted())
	k.See(12, true)
	assert.Assert(t, !k.IsReplaced())
}
