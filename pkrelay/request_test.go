package pkrelay

import (
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkpeer"
)

const maxTestBody = 1 << 10

func valid() Request {
	return Request{From: "a", Method: "POST", Host: "h", URI: "/a/b?q=%2f", Header: map[string][]string{"X-One": {"1", "2"}}, Body: []byte("body"), RemainingMS: 100, Version: 7, Runs: 1, LastEventID: "9"}
}

// Guards against a relayed request that differs from the caller's.
func TestRequestIsCarriedUnchanged(t *testing.T) {
	want := valid()
	raw, err := want.Encode()
	assert.NilError(t, err)
	got, err := Decode(raw, maxTestBody)
	assert.NilError(t, err)
	assert.DeepEqual(t, *got, want)
	r, err := got.HTTP(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, r.RequestURI, want.URI)
	assert.Equal(t, r.URL.Path, "/a/b")
	assert.DeepEqual(t, r.Header.Values("x-one"), []string{"1", "2"})
	body, err := io.ReadAll(r.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "body")
}

// Guards against serving what a faulty peer sends.
func TestInvalidRequestsAreRejected(t *testing.T) {
	for name, change := range map[string]func(r *Request){
		"no method":     func(r *Request) { r.Method = "" },
		"no host":       func(r *Request) { r.Host = "" },
		"no path":       func(r *Request) { r.URI = "http://other/" },
		"no time":       func(r *Request) { r.RemainingMS = 0 },
		"negative time": func(r *Request) { r.RemainingMS = -5 },
		"endless time":  func(r *Request) { r.RemainingMS = 1 << 62 },
		"negative runs": func(r *Request) { r.Runs = -1 },
		"too large":     func(r *Request) { r.Body = make([]byte, maxTestBody+maxOverhead) },
	} {
		r := valid()
		change(&r)
		raw, err := r.Encode()
		assert.NilError(t, err)
		_, err = Decode(raw, maxTestBody)
		assert.Assert(t, err != nil, name)
	}
	r := valid()
	r.URI = "/%zz"
	_, err := r.HTTP(t.Context())
	assert.ErrorContains(t, err, "invalid path")
}

func FuzzDecode(f *testing.F) {
	r := valid()
	raw, err := pkpeer.Encode(r)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte{0xa1, 0x01})
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, err := Decode(raw, maxTestBody)
		if err != nil {
			return
		}
		if r.Remaining() <= 0 || r.Runs < 0 {
			t.Fatalf("taken: %+v", r)
		}
		_, _ = r.HTTP(t.Context()) // an error is fine, a panic is not
	})
}
