package pkstandin

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkconn"
	"peridotknot.example/pkcontract"
	"peridotknot.example/pkengine"
	"peridotknot.example/pkid"
	"peridotknot.example/pkplatform"
	"peridotknot.example/pktrace"
)

func startEnvironment(t *testing.T) *Environment {
	env, err := Start(Settings{
		Store: anyPort, Platform: anyPort, Admin: anyPort,
		Kinds: map[pkid.AcceleratorKind]Speed{"a": {Base: time.Microsecond, Batch: 8}},
		Engines: []EngineGroup{{
			Pool: "p", Kind: "a", Count: 1, DataCenters: []pkid.DataCenter{"d"}, Model: "m", Version: "1", End: 4, EnforcesFencing: true,
		}},
	})
	assert.NilError(t, err)
	t.Cleanup(env.Close)
	return env
}

func TestEngineContract(t *testing.T) {
	pkcontract.TestEngine(t, func(t *testing.T) pkcontract.EngineUnderTest {
		env := startEnvironment(t)
		c := pkengine.NewClient(pkconn.DefaultOptions(), time.Minute)
		t.Cleanup(func() { assert.NilError(t, c.Close()) })
		e := env.engines[env.listOrder[0]]
		return pkcontract.EngineUnderTest{Engine: c, Addr: e.info.Addr, Target: e.info.ID}
	})
}

// The VM list is polled. The body must be sent when the list has changed or the client has dropped
// its ETag, and must not be sent otherwise.
func TestVMListConditionalRead(t *testing.T) {
	env := startEnvironment(t)
	c := pkplatform.New(env.PlatformAddr(), pkconn.DefaultOptions())
	defer func() { assert.NilError(t, c.Close()) }()
	list, err := c.VMs(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(list), 1)
	_, err = c.VMs(t.Context())
	assert.Assert(t, errors.Is(err, pkplatform.ErrUnchanged), err)
	c.Forget()
	_, err = c.VMs(t.Context())
	assert.NilError(t, err)
	assert.NilError(t, env.InjectFault(pktrace.Fault{Name: pktrace.FaultLeave, Target: string(list[0].ID)}))
	list, err = c.VMs(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, list[0].Leaving)
}

// If the stand-in missed repeated or skipped tokens and layers, replays would pass regardless.
func TestEngineDetectsOrderViolations(t *testing.T) {
	env := startEnvironment(t)
	e := env.engines[env.listOrder[0]]
	key := attemptKey{stream: "s", attempt: 1}
	_, alive := e.processToken(key, 0, 0)
	assert.Assert(t, alive)
	assert.Equal(t, env.Ledger().ViolationCount, 0)
	e.processToken(key, 0, 0) // token repeated
	e.processToken(key, 5, 0) // tokens skipped
	e.processToken(key, 6, 2) // layers skipped
	assert.Equal(t, env.Ledger().ViolationCount, 3)
}
