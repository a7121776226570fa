package pkplatform

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkconn"
	"peridotknot.example/pkid"
)

// Guards against one odd entry of the VM list that keeps an entry from following the others.
func TestInvalidEntriesOfTheVMList(t *testing.T) {
	const first = `{"id":"a","addr":"127.0.0.1:80","pool":"p"}`
	const last = `{"id":"z","addr":"127.0.0.1:81","pool":"p","leaving":true}`
	for name, odd := range map[string]string{
		"nested":                `{"id":"b","addr":"127.0.0.1:82","pool":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + `}`,
		"number for a text":     `{"id":1e999,"addr":"127.0.0.1:82","pool":"p"}`,
		"large number":          `{"id":"b","addr":"127.0.0.1:82","pool":"p","leaving":12345678901234567890123456}`,
		"port out of range":     `{"id":"b","addr":"127.0.0.1:70000","pool":"p"}`,
		"negative port":         `{"id":"b","addr":"127.0.0.1:-1","pool":"p"}`,
		"no port":               `{"id":"b","addr":"127.0.0.1","pool":"p"}`,
		"no id":                 `{"addr":"127.0.0.1:82","pool":"p"}`,
		"no pool":               `{"id":"b","addr":"127.0.0.1:82"}`,
		"null":                  `null`,
		"list":                  `[]`,
		"entry of another kind": `"b"`,
	} {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("ETag", "1")
				_, _ = io.WriteString(w, `{"vms":[`+first+","+odd+","+last+`]}`)
			}))
			defer srv.Close()
			c := New(strings.TrimPrefix(srv.URL, "http://"), pkconn.DefaultOptions())
			defer func() { assert.NilError(t, c.Close()) }()
			got, err := c.VMs(t.Context())
			assert.ErrorIs(t, err, ErrInvalidEntries)
			assert.Equal(t, len(got), 2)
			assert.Equal(t, got[0].ID, pkid.TargetID("a"))
			assert.Assert(t, got[1].ID == "z" && got[1].Leaving)
			assert.Equal(t, c.etag, "1", "the list is not read again until it changes")
		})
	}
}
