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

func startWorld(t *testing.T) *World {
	w, err := Start(Settings{
		Store: anyPort, Platform: anyPort, Admin: anyPort,
		Kinds: map[pkid.Kind]Speed{"a": {Base: time.Microsecond, Batch: 8}},
		Engines: []EngineGroup{{
			Pool: "p", Kind: "a", Count: 1, DataCenters: []pkid.DataCenter{"d"}, Model: "m", Version: "1", End: 4, Enforces: true,
		}},
	})
	assert.NilError(t, err)
	t.Cleanup(w.Close)
	return w
}

func TestClientAndStandinKeepTheEngineContract(t *testing.T) {
	pkcontract.Engine(t, func(t *testing.T) pkcontract.EngineUnderTest {
		w := startWorld(t)
		c := pkengine.NewClient(pkconn.DefaultOptions(), time.Minute)
		t.Cleanup(func() { assert.NilError(t, c.Close()) })
		e := w.engines[w.order[0]]
		return pkcontract.EngineUnderTest{Engine: c, Addr: e.info.Addr, Target: e.info.ID}
	})
}

// The list is read twice a second. It must come whole when it changed, not at
// all when it did not, and whole again on demand.
func TestVMListTravelsWhenItChanged(t *testing.T) {
	w := startWorld(t)
	c := pkplatform.New(w.PlatformAddr(), pkconn.DefaultOptions())
	defer func() { assert.NilError(t, c.Close()) }()
	list, err := c.VMs(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(list), 1)
	_, err = c.VMs(t.Context())
	assert.Assert(t, errors.Is(err, pkplatform.ErrSame), err)
	c.Forget()
	_, err = c.VMs(t.Context())
	assert.NilError(t, err)
	assert.NilError(t, w.Fault(pktrace.Fault{Name: pktrace.FaultLeave, Target: string(list[0].ID)}))
	list, err = c.VMs(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, list[0].Leaving)
}

// The stand-in must notice what it is there to notice, or every replay holds.
func TestEngineNoticesBrokenOrder(t *testing.T) {
	w := startWorld(t)
	e := w.engines[w.order[0]]
	key := runKey{stream: "s", attempt: 1}
	_, alive := e.pass(key, 0, 0)
	assert.Assert(t, alive)
	assert.Equal(t, w.Ledger().Broken, 0)
	e.pass(key, 0, 0) // a token twice
	e.pass(key, 5, 0) // tokens skipped
	e.pass(key, 6, 2) // a layer skipped
	assert.Equal(t, w.Ledger().Broken, 3)
}
