package pkwait

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against calls that begin after an end and are ended by it too, and against ended ones that
// seem to have ended for it.
func TestOnlyCallsUnderWayAreEnded(t *testing.T) {
	why := errors.New("pointless")
	var g Group
	over, ended := g.Begin(t.Context())
	ended()
	ctx, ended := g.Begin(t.Context())
	defer ended()
	g.End(why)
	assert.Equal(t, context.Cause(ctx), why)
	assert.Equal(t, context.Cause(over), context.Canceled)
	later, ended := g.Begin(t.Context())
	defer ended()
	assert.NilError(t, later.Err())
}
