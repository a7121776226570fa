package pkengine

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a difference between the fast path and encoding/json, which would silently alter
// the text that the caller receives.
func FuzzParseEvent(f *testing.F) {
	for _, line := range []string{
		`{"i":0,"t":"Brücke "}` + "\n", `{"i":12,"t":"a\"b"}`, `{"i":01,"t":"x"}`, `{"i":1,"t":"x"},"beat":true}`,
		`{"i":-1,"t":"x"}`, `{"i":99999999999999999999,"t":"x"}`, `{"i":3,"end":"stop","total":3}`, `{"i":1,"t":""}`, "{\"i\":1,\"t\":\"\xff\"}",
		`{"i":1,"t":"a\u0000"}`, `{"beat":true}`, `{"i":1,"t":"x"}}`,
	} {
		f.Add([]byte(line))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		fast, ok := parseToken(line)
		if !ok {
			_, _ = ParseEvent(line)
			return
		}
		var decoded Event
		if err := json.Unmarshal(line, &decoded); err != nil {
			t.Fatalf("%q was accepted, the decoder returned %v", line, err)
		}
		assert.DeepEqual(t, fast, decoded)
	})
}

func TestParseEventRejectsInvalidLines(t *testing.T) {
	for _, line := range []string{"", "x", `{"i":-1}`, `{"i":1,"total":-2}`, `{"i":"1"}`, `[1]`} {
		_, err := ParseEvent([]byte(line))
		assert.Assert(t, err != nil, line)
	}
}

func BenchmarkParseEvent(b *testing.B) {
	line := []byte(`{"i":117,"t":"abstimmen "}` + "\n")
	b.Run("quick", func(b *testing.B) {
		for b.Loop() {
			_, _ = ParseEvent(line)
		}
	})
	b.Run("decoder", func(b *testing.B) {
		for b.Loop() {
			var ev Event
			_ = json.Unmarshal(line, &ev)
		}
	})
}
