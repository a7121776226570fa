package pkwait

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against canceling calls that begin later, and against a changed cause of calls that had
// already ended.
func TestEndCancelsOnlyCallsInProgress(t *testing.T) {
	cause := errors.New("watch is stale")
	var g Group
	finished, ended := g.Begin(t.Context())
	ended()
	ctx, ended := g.Begin(t.Context())
	defer ended()
	g.CancelAll(cause)
	assert.Equal(t, context.Cause(ctx), cause)
	assert.Equal(t, context.Cause(finished), context.Canceled)
	later, ended := g.Begin(t.Context())
	defer ended()
	assert.NilError(t, later.Err())
}
