package pkpeer

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
	"peridotknot.example/pkmember"
)

// During an upgrade a newer entry sends fields that this build does not know. They must be skipped
// and the others read.
func TestUnknownFieldsAreSkipped(t *testing.T) {
	type newerShare struct {
		Revision uint64         `cbor:"4,keyasint"`
		Later    map[string]int `cbor:"77,keyasint"`
	}
	type newer struct {
		Share newerShare `cbor:"2,keyasint"`
		Other []string   `cbor:"99,keyasint"`
	}
	raw, err := cbor.Marshal(newer{Share: newerShare{Revision: 9, Later: map[string]int{"x": 1}}, Other: []string{"y"}})
	assert.NilError(t, err)
	m, err := Decode[pkmember.Message](raw)
	assert.NilError(t, err)
	assert.Equal(t, uint64(m.Update.Revision), uint64(9))
}

func TestMalformedMessagesAreRejected(t *testing.T) {
	nested := make([]byte, 1000)
	for i := range nested {
		nested[i] = 0x81 // an array with one element
	}
	cases := map[string][]byte{
		"nested deeply":               nested,
		"array of 2^32 elements":      {0xa1, 0x02, 0x9a, 0xff, 0xff, 0xff, 0xff},
		"string of indefinite length": {0xa1, 0x02, 0x5f, 0x41, 0x00},
		"truncated":                   {0xa1, 0x02},
		"not a message":               {0x01},
		"empty":                       {},
	}
	for name, raw := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Decode[pkmember.Message](raw)
			assert.ErrorContains(t, err, "decode message from peer")
		})
	}
}

func FuzzDecode(f *testing.F) {
	raw, err := Encode(pkmember.Message{Update: &pkmember.Update{Names: []pkid.TargetID{"t"}, Refs: []int{0}, RefCounts: []int64{3}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := Decode[pkmember.Message](raw)
		if err != nil {
			return
		}
		if _, err := Encode(m); err != nil {
			t.Fatal(err)
		}
	})
}
