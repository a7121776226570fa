package pkmanifest

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const validManifest = `schema: 1
name: nightly
limits: {default_deadline: 20s, max_deadline: 60s, max_body: 1000, max_prompt_tokens: 10, max_output_tokens: 10}
models:
  - {id: m, version: "1", pool: p, layers: 8, adapters: [x], enforces_fencing: true, loads_at_once: 2, splits: [{first: 0, end: 4, weight: 1}, {first: 4, end: 8, weight: 1}]}
services:
  - {id: s, pool: q, idempotent: [{method: GET, prefix: /records}]}
accounts:
  - {id: a, weight: 1, max_in_flight: 1, keys: [{id: k1, salt: s, hash: HASH}], models: [m], services: [s]}
`

func body(replace ...string) []byte {
	hash := strings.Repeat("0", 64)
	return []byte(strings.NewReplacer(append([]string{"HASH", hash}, replace...)...).Replace(validManifest))
}

func TestParseRejectsFaults(t *testing.T) {
	_, err := Parse("m.yaml", body())
	assert.NilError(t, err)
	cases := map[string]struct{ old, now, want string }{
		"unsupported schema":   {"schema: 1", "schema: 2", "m.yaml:1: schema is 2"},
		"gap in layers":        {"first: 4, end: 8", "first: 5, end: 8", "no chain of splits covers layers 0 to 5"},
		"overlap in layers":    {"first: 4, end: 8", "first: 3, end: 8", "no chain of splits covers layers 0 to 3"},
		"range past the end":   {"first: 4, end: 8", "first: 4, end: 9", "not a range within 0 to 8"},
		"no weight":            {"id: a, weight: 1", "id: a, weight: 0", "m.yaml:9: weight is missing"},
		"unknown model":        {"models: [m]", "models: [n]", `m.yaml:9: model "n" is not declared`},
		"unknown service":      {"services: [s]", "services: [r]", `service "r" is not declared`},
		"max below default":    {"max_deadline: 60s", "max_deadline: 6s", "m.yaml:3: max_deadline is below"},
		"relative prefix":      {"prefix: /records", "prefix: records", "m.yaml:7: prefix must begin with /"},
		"hash of wrong length": {"hash: HASH", "hash: abc", "a key needs id, salt"},
		"account without keys": {"keys: [{id: k1, salt: s, hash: HASH}]", "keys: []", "keys is missing"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("m.yaml", body(c.old, strings.ReplaceAll(c.now, "HASH", strings.Repeat("0", 64))))
			assert.ErrorContains(t, err, c.want)
		})
	}
}

func TestParseReportsAllFaults(t *testing.T) {
	_, err := Parse("m.yaml", body("weight: 1, max_in_flight: 1", "weight: 0, max_in_flight: 0", "models: [m]", "models: [n]"))
	assert.Equal(t, strings.Count(err.Error(), "m.yaml:9:"), 3, err.Error())
}

func TestAccountByKey(t *testing.T) {
	key, stored := NewKey()
	m := Manifest{Accounts: []Account{{ID: "a", Keys: []Key{stored}, Models: nil}}}
	v := NewView(m, 1, "d")
	a, found := v.Account(key)
	assert.Assert(t, found)
	assert.Equal(t, a.ID, m.Accounts[0].ID)
	for _, wrong := range []string{"", "pk", key + "0", "pk_" + string(stored.ID) + "_", "pk_x_" + strings.Split(key, "_")[2]} {
		_, found := v.Account(wrong)
		assert.Assert(t, !found, wrong)
	}
	assert.Assert(t, !strings.Contains(stored.Hash+stored.Salt, strings.Split(key, "_")[2]))
}

func TestRetryable(t *testing.T) {
	s := Service{Idempotent: []Route{{Method: "GET", Prefix: "/records"}}}
	assert.Assert(t, s.Retryable("GET", "/records/7"))
	assert.Assert(t, s.Retryable("GET", "/records"))
	assert.Assert(t, !s.Retryable("POST", "/records/7"))
	assert.Assert(t, !s.Retryable("GET", "/ballots/7"))
	assert.Assert(t, !s.Retryable("GET", "/recordsandmore"))
}

func TestDiff(t *testing.T) {
	a, err := Parse("a", body())
	assert.NilError(t, err)
	b, err := Parse("b", body("version: \"1\"", "version: \"2\"", "id: s,", "id: r,", "services: [s]", "services: [r]"))
	assert.NilError(t, err)
	assert.DeepEqual(t, Diff(a, b), []Change{
		{Op: "changed", Item: "account a"},
		{Op: "changed", Item: "model m"},
		{Op: "added", Item: "service r"},
		{Op: "removed", Item: "service s"},
	})
}

func FuzzParse(f *testing.F) {
	f.Add(body())
	f.Add([]byte("models: [{splits: [{first: -1, end: 99999999}]}]"))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		if m, err := Parse("m.yaml", raw); err == nil {
			NewView(m, 1, DigestOf(raw))
		}
	})
}
