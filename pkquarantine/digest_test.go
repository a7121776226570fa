package pkquarantine

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestDigestCoversAllFields(t *testing.T) {
	one := Identity{Account: "a", Method: "POST", Host: "h", URI: "/x/1", Body: []byte("body")}
	same := one
	same.Body = []byte("body")
	assert.Equal(t, one.Digest(), same.Digest())
	seen := map[Digest]bool{one.Digest(): true}
	for _, change := range []func(i *Identity){
		func(i *Identity) { i.Account = "b" },
		func(i *Identity) { i.Method = "PUT" },
		func(i *Identity) { i.Host = "g" },
		func(i *Identity) { i.URI = "/x/2" },
		func(i *Identity) { i.Body = nil },
		func(i *Identity) { i.URI, i.Body = "/x/1b", []byte("ody") },
	} {
		other := one
		change(&other)
		assert.Assert(t, !seen[other.Digest()], "%+v", other)
		seen[other.Digest()] = true
	}
}
