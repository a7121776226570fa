package pkmanifest

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"

	"peridotknot.example/pkid"
)

const (
	keyPrefix    = "pk"
	keyIDBytes   = 6
	keySaltBytes = 16
	secretBytes  = 24
)

// Key is an API key as the manifest keeps it: its public id and a salted hash.
type Key struct {
	ID   pkid.KeyID `yaml:"id" json:"id"`
	Salt string     `yaml:"salt" json:"salt"`
	Hash string     `yaml:"hash" json:"hash"`
}

// errKeyShape never holds the key: errors end up in logs.
var errKeyShape = errors.New("an API key reads pk_ID_SECRET")

// NewKey makes a random API key and returns it with its manifest form.
func NewKey() (string, Key) {
	id := pkid.KeyID(randomHex(keyIDBytes))
	key := strings.Join([]string{keyPrefix, string(id), randomHex(secretBytes)}, "_")
	kept, err := HashKey(key)
	if err != nil {
		panic(err) // the key was made in this shape just now
	}
	return key, kept
}

// HashKey returns the manifest form of an API key, with a fresh salt.
func HashKey(key string) (Key, error) {
	id, secret, err := SplitKey(key)
	if err != nil {
		return Key{}, err
	}
	salt := randomHex(keySaltBytes)
	return Key{ID: id, Salt: salt, Hash: hashSecret(salt, secret)}, nil
}

// SplitKey returns the public id and the secret of an API key.
func SplitKey(key string) (pkid.KeyID, string, error) {
	parts := strings.Split(key, "_")
	if len(parts) != 3 || parts[0] != keyPrefix || parts[1] == "" || parts[2] == "" {
		return "", "", errKeyShape
	}
	return pkid.KeyID(parts[1]), parts[2], nil
}

// Matches says in constant time whether secret is the key's.
func (k Key) Matches(secret string) bool {
	return subtle.ConstantTimeCompare([]byte(hashSecret(k.Salt, secret)), []byte(k.Hash)) == 1
}

// hashSecret needs no slow hash: the secret is 24 random bytes, which no
// dictionary holds, and each request pays for it.
func hashSecret(salt, secret string) string {
	sum := sha256.Sum256([]byte(salt + ":" + secret))
	return hex.EncodeToString(sum[:])
}

func randomHex(n int) string {
	raw := make([]byte, n)
	if _, err := rand.Read(raw); err != nil {
		panic(fmt.Sprintf("no random bytes: %v", err))
	}
	return hex.EncodeToString(raw)
}
