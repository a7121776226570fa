package pkclaim

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotknot.example/pkid"
)

// Key is a digest of the account, the service and the caller's key, so that no text chosen by a
// caller is sent to peers or stored.
type Key string

// KeyOf returns the digest of a caller's key.
func KeyOf(account pkid.AccountID, service pkid.ServiceID, key string) Key {
	const digestBytes = 16
	sum := sha256.Sum256([]byte(string(account) + "\x00" + string(service) + "\x00" + key))
	return Key(hex.EncodeToString(sum[:digestBytes]))
}

const (
	// retention is how long a claim is kept: longer than any deadline and than callers keep
	// retrying.
	retention  = 15 * time.Minute
	shardCount = 16
	// maxClaims bounds the claims of one shard. A full shard refuses new keys instead of evicting
	// claims.
	maxClaims = 1 << 16
)

// Table holds the claims of one entry; the zero value is empty.
type Table struct {
	shards [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	claims  map[Key]claim
	sweptAt time.Time
}

type claim struct {
	holder    pkid.RequestID
	expiresAt time.Time
}

func (t *Table) shardOf(k Key) *shard {
	return &t.shards[xxhash.Sum64String(string(k))%shardCount]
}

// Claim claims a key for a request and reports whether the request holds it. The same request may
// claim again, since the first answer can be lost.
func (t *Table) Claim(now time.Time, k Key, holder pkid.RequestID) bool {
	s := t.shardOf(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	if old, found := s.claims[k]; found && now.Before(old.expiresAt) {
		return old.holder == holder
	}
	if len(s.claims) >= maxClaims {
		return false
	}
	if s.claims == nil {
		s.claims = map[Key]claim{}
	}
	s.claims[k] = claim{holder: holder, expiresAt: now.Add(retention)}
	return true
}

// ActiveClaim is an active claim.
type ActiveClaim struct {
	Key    Key
	Holder pkid.RequestID
}

// Active returns the claims active at now.
func (t *Table) Active(now time.Time) []ActiveClaim {
	var out []ActiveClaim
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for k, c := range s.claims {
			if now.Before(c.expiresAt) {
				out = append(out, ActiveClaim{Key: k, Holder: c.holder})
			}
		}
		s.mu.Unlock()
	}
	return out
}

// Release drops the claim of a call that did not run.
func (t *Table) Release(k Key, holder pkid.RequestID) {
	s := t.shardOf(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.claims[k].holder == holder {
		delete(s.claims, k)
	}
}

func (s *shard) sweep(now time.Time) {
	const sweepInterval = time.Minute
	if now.Sub(s.sweptAt) < sweepInterval {
		return
	}
	s.sweptAt = now
	for k, c := range s.claims {
		if !now.Before(c.expiresAt) {
			delete(s.claims, k)
		}
	}
}
