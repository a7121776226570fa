package pkclaim

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotknot.example/pkid"
)

// Key is a digest of account, service and the caller's key, so that no text of
// a caller travels or is kept.
type Key string

// KeyOf returns the digest under which a caller's key is claimed.
func KeyOf(account pkid.AccountID, service pkid.ServiceID, key string) Key {
	const bytes = 16
	sum := sha256.Sum256([]byte(string(account) + "\x00" + string(service) + "\x00" + key))
	return Key(hex.EncodeToString(sum[:bytes]))
}

const (
	// keepFor is how long a claim is remembered: longer than any deadline and
	// than callers go on trying.
	keepFor = 15 * time.Minute
	shards  = 16
	// most bounds the claims of one shard. A full shard refuses new keys
	// rather than forget one.
	most = 1 << 16
)

// Table is the claims that one entry keeps; the zero value is empty.
type Table struct {
	shard [shards]shard
}

type shard struct {
	mu     sync.Mutex
	claims map[Key]claim
	swept  time.Time
}

type claim struct {
	holder pkid.RequestID
	until  time.Time
}

func (t *Table) of(k Key) *shard {
	return &t.shard[xxhash.Sum64String(string(k))%shards]
}

// Claim claims a key for a request and says whether it was free. The same
// request may ask again: its first answer can have been lost.
func (t *Table) Claim(now time.Time, k Key, holder pkid.RequestID) bool {
	s := t.of(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	if old, found := s.claims[k]; found && now.Before(old.until) {
		return old.holder == holder
	}
	if len(s.claims) >= most {
		return false
	}
	if s.claims == nil {
		s.claims = map[Key]claim{}
	}
	s.claims[k] = claim{holder: holder, until: now.Add(keepFor)}
	return true
}

// Held is a claim that stands.
type Held struct {
	Key    Key
	Holder pkid.RequestID
}

// All returns the claims that stand at now.
func (t *Table) All(now time.Time) []Held {
	var out []Held
	for i := range t.shard {
		s := &t.shard[i]
		s.mu.Lock()
		for k, c := range s.claims {
			if now.Before(c.until) {
				out = append(out, Held{Key: k, Holder: c.holder})
			}
		}
		s.mu.Unlock()
	}
	return out
}

// Release gives a claim back whose call was not run.
func (t *Table) Release(k Key, holder pkid.RequestID) {
	s := t.of(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.claims[k].holder == holder {
		delete(s.claims, k)
	}
}

func (s *shard) sweep(now time.Time) {
	const sweepEvery = time.Minute
	if now.Sub(s.swept) < sweepEvery {
		return
	}
	s.swept = now
	for k, c := range s.claims {
		if !now.Before(c.until) {
			delete(s.claims, k)
		}
	}
}
