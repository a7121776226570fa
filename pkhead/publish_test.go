package pkhead

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkcontract"
	"peridotknot.example/pkmanifest"
	"peridotknot.example/pkpack"
	"peridotknot.example/pkstore"
)

func draft(id, body string) Draft {
	return Draft{ID: PublishID(id), Operator: id, Name: id, Body: []byte(body)}
}

func publish(t *testing.T, s pkstore.Store, d Draft) Outcome {
	t.Helper()
	out, err := Publish(t.Context(), s, d)
	assert.NilError(t, err)
	return out
}

// Two operators publish from the same head. The one whose write comes second must
// get Refused with the head of the other, and its manifest must not come into force.
func TestConcurrentPublishers(t *testing.T) {
	s := pkcontract.NewMemory()
	publish(t, s, draft("base", "0"))
	raced := false
	s.Before = func(w pkstore.Swap) error {
		if w.Key == HeadKey && !raced {
			raced = true
			publish(t, s, draft("bern", "1"))
		}
		return nil
	}
	out := publish(t, s, draft("thun", "2"))
	assert.Equal(t, out.Result, Refused)
	assert.Equal(t, out.Head.Operator, "bern")
	head, _, err := Read(t.Context(), s)
	assert.NilError(t, err)
	assert.Equal(t, uint64(head.Revision), uint64(2))
}

// The response to the write of the head is lost. Whether the write took effect, did
// not, or arrives only later, the result that the operator got must stay true.
func TestLostResponses(t *testing.T) {
	cases := map[string]struct {
		before, after bool
		late          bool
		want          Result
	}{
		"write took effect":  {after: true, want: Accepted},
		"write was dropped":  {before: true, want: Refused},
		"write arrives late": {before: true, late: true, want: Refused},
		"no response lost":   {want: Accepted},
	}
	for name, c := range cases {
		for _, fresh := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, first publication %v", name, fresh), func(t *testing.T) {
				s := pkcontract.NewMemory()
				if !fresh {
					publish(t, s, draft("base", "0"))
				}
				var lost *pkstore.Swap
				lose := func(want bool) func(pkstore.Swap) error {
					return func(w pkstore.Swap) error {
						if !want || lost != nil || w.Key != HeadKey || !strings.Contains(string(w.Value), `"mine"`) {
							return nil
						}
						lost = &w
						return pkcontract.ErrLost
					}
				}
				s.Before, s.After = lose(c.before), lose(c.after)
				out, err := Publish(t.Context(), s, draft("mine", "1"))
				assert.NilError(t, err)
				assert.Equal(t, out.Result, c.want)
				if c.late {
					_, err := s.Swap(context.Background(), *lost)
					assert.NilError(t, err)
				}
				head, _, err := Read(t.Context(), s)
				assert.NilError(t, err)
				_, found := head.Find("mine")
				assert.Equal(t, found, c.want == Accepted)
			})
		}
	}
}

// The store is down while the outcome is determined. The result must be Unknown, and
// it must be possible to determine it once the store is back.
func TestUnknownOutcomeIsDeterminedLater(t *testing.T) {
	s := pkcontract.NewMemory()
	publish(t, s, draft("base", "0"))
	down := false
	s.Before = func(pkstore.Swap) error {
		if down {
			return pkcontract.ErrLost
		}
		return nil
	}
	s.After = func(w pkstore.Swap) error {
		if w.Key == HeadKey && strings.Contains(string(w.Value), `"mine"`) {
			down = true
			return pkcontract.ErrLost
		}
		return nil
	}
	out, err := Publish(t.Context(), failingReads{s, &down}, draft("mine", "1"))
	assert.Assert(t, err != nil)
	assert.Equal(t, out.Result, Unknown)
	down = false
	s.After = nil
	out, err = Resolve(t.Context(), s, "mine")
	assert.NilError(t, err)
	assert.Equal(t, out.Result, Accepted)
}

type failingReads struct {
	*pkcontract.Memory
	down *bool
}

func (f failingReads) Load(ctx context.Context, key string) (pkstore.Item, error) {
	if *f.down {
		return pkstore.Item{}, pkcontract.ErrLost
	}
	return f.Memory.Load(ctx, key)
}

func TestBodyInSeveralChunks(t *testing.T) {
	s := pkcontract.NewMemory()
	random := rand.NewChaCha8([32]byte{1})
	body := strings.Builder{}
	for body.Len() < 2*chunkSize { // random, so that it does not compress below two chunks
		fmt.Fprintf(&body, "%016x", random.Uint64())
	}
	out := publish(t, s, draft("big", body.String()))
	assert.Assert(t, len(out.Head.Chunks) >= 2)
	got, err := Body(t.Context(), s, out.Head.Publication)
	assert.NilError(t, err)
	assert.Equal(t, pkmanifest.DigestOf(got), out.Head.Digest)
	p := out.Head.Publication
	p.Digest = "other"
	_, err = Body(t.Context(), s, p)
	assert.ErrorContains(t, err, "has digest")
}

func TestPublishRefusesStaleBase(t *testing.T) {
	s := pkcontract.NewMemory()
	publish(t, s, draft("one", "1"))
	publish(t, s, draft("two", "2"))
	d := draft("three", "3")
	d.Base = 1
	assert.Equal(t, publish(t, s, d).Result, Refused)
	d.Base = 2
	assert.Equal(t, publish(t, s, d).Result, Accepted)
}

func TestOlderRevisionIsNotAdopted(t *testing.T) {
	assert.Equal(t, Compare(0, "", 1, "a"), Adopt)
	assert.Equal(t, Compare(2, "a", 3, "b"), Adopt)
	assert.Equal(t, Compare(2, "a", 2, "a"), Same)
	assert.Equal(t, Compare(2, "a", 1, "b"), Older)
	assert.Equal(t, Compare(2, "a", 2, "b"), Conflict)
}

// A decompression bomb from a peer or the store must be rejected before it exhausts
// the VM's memory.
func TestUnpackBoundsSize(t *testing.T) {
	packed, err := Pack(make([]byte, pkpack.MaxBody+1))
	assert.NilError(t, err)
	_, err = Unpack(packed)
	assert.ErrorIs(t, err, pkpack.ErrTooLarge)
	_, err = Unpack([]byte("not packed"))
	assert.ErrorContains(t, err, "unpack manifest")
}
