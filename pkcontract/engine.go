package pkcontract

import (
	"errors"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkengine"
	"peridotknot.example/pkid"
	"peridotknot.example/pkverdict"
)

// EngineUnderTest is an adapter and an engine that holds all layers of a model and
// rejects outdated fencing tokens.
type EngineUnderTest struct {
	Engine pkengine.Engine
	Addr   string
	Target pkid.TargetID
}

// TestEngine runs the contract tests of pkengine.Engine; open returns a new engine.
func TestEngine(t *testing.T, open func(*testing.T) EngineUnderTest) {
	t.Run("stream has every token once and its end", func(t *testing.T) { streamIsComplete(t, open(t)) })
	t.Run("stream resumes at an index", func(t *testing.T) { streamResumes(t, open(t)) })
	t.Run("wrong version is rejected as not run", func(t *testing.T) { rejectsWrongVersion(t, open(t)) })
	t.Run("order is executed and an outdated one rejected", func(t *testing.T) { ordersAreFenced(t, open(t)) })
	t.Run("unreachable engine is not run", func(t *testing.T) { unreachableIsNotRun(t, open(t)) })
}

func (e EngineUnderTest) request(t *testing.T, tokens pkid.Tokens) pkengine.OpenRequest {
	t.Helper()
	l, err := e.Engine.Load(t.Context(), e.Addr)
	assert.NilError(t, err)
	hop := pkengine.Hop{Target: e.Target, Addr: e.Addr, First: l.First, End: l.End}
	return pkengine.OpenRequest{
		Stream: "s", Attempt: 1, Model: l.Model, Version: l.Version, Route: []pkengine.Hop{hop},
		Prompt: "p", PromptTokens: 1, MaxTokens: tokens, DeadlineMS: 10_000,
	}
}

// readTokens reads a stream to its end and returns its tokens by index.
func (e EngineUnderTest) readTokens(t *testing.T, o pkengine.OpenRequest) map[pkid.TokenIndex]string {
	t.Helper()
	s, err := e.Engine.Open(t.Context(), e.Addr, o)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, s.Close()) }()
	out := map[pkid.TokenIndex]string{}
	for {
		ev, err := s.Next()
		assert.NilError(t, err)
		switch {
		case ev.Heartbeat:
		case ev.End != "":
			assert.Equal(t, ev.Total, pkid.TokenIndex(o.MaxTokens))
			return out
		default:
			_, duplicate := out[ev.Index]
			assert.Assert(t, !duplicate, "duplicate token %d", ev.Index)
			out[ev.Index] = ev.Text
		}
	}
}

func streamIsComplete(t *testing.T, e EngineUnderTest) {
	const tokens = 20
	out := e.readTokens(t, e.request(t, tokens))
	assert.Equal(t, len(out), tokens)
	for i := range pkid.TokenIndex(tokens) {
		assert.Assert(t, out[i] != "", strconv.Itoa(int(i)))
	}
}

func streamResumes(t *testing.T, e EngineUnderTest) {
	complete := e.readTokens(t, e.request(t, 10))
	o := e.request(t, 10)
	o.Attempt = 2
	o.Next = 6
	for i := range o.Next {
		o.Delivered += complete[i]
	}
	rest := e.readTokens(t, o)
	assert.Equal(t, len(rest), 4)
	for i, text := range rest {
		assert.Equal(t, text, complete[i])
	}
}

func rejectsWrongVersion(t *testing.T, e EngineUnderTest) {
	o := e.request(t, 1)
	o.Version += "-other"
	_, err := e.Engine.Open(t.Context(), e.Addr, o)
	var failure *pkverdict.Error
	assert.Assert(t, errors.As(err, &failure), err)
	assert.Equal(t, failure.Verdict, pkverdict.NotRun)
}

func ordersAreFenced(t *testing.T, e EngineUnderTest) {
	l, err := e.Engine.Load(t.Context(), e.Addr)
	assert.NilError(t, err)
	o := pkengine.Order{Fence: 5, Model: l.Model, Version: l.Version + "-next", First: l.First, End: l.End}
	assert.NilError(t, e.Engine.Order(t.Context(), e.Addr, o))
	for !o.SatisfiedBy(l) {
		l, err = e.Engine.Load(t.Context(), e.Addr)
		assert.NilError(t, err)
	}
	outdated := o
	outdated.Fence = 4
	outdated.Version = "old"
	assert.ErrorIs(t, e.Engine.Order(t.Context(), e.Addr, outdated), pkengine.ErrFenced)
	assert.NilError(t, e.Engine.Order(t.Context(), e.Addr, o), "repeating an order is idempotent")
}

func unreachableIsNotRun(t *testing.T, e EngineUnderTest) {
	_, err := e.Engine.Open(t.Context(), "127.0.0.1:1", pkengine.OpenRequest{})
	var failure *pkverdict.Error
	assert.Assert(t, errors.As(err, &failure), err)
	assert.Equal(t, failure.Verdict, pkverdict.NotRun)
}
