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

// Key is the stored form of an API key: its public ID and a salted hash.
type Key struct {
	ID   pkid.KeyID `yaml:"id" json:"id"`
	Salt string     `yaml:"salt" json:"salt"`
	Hash string     `yaml:"hash" json:"hash"`
}

// errKeyFormat does not include the key, since errors are logged.
var errKeyFormat = errors.New("an API key has the form pk_ID_SECRET")

// NewKey generates a random API key and returns it with its stored form.
func NewKey() (string, Key) {
	id := pkid.KeyID(randomHex(keyIDBytes))
	key := strings.Join([]string{keyPrefix, string(id), randomHex(secretBytes)}, "_")
	stored, err := HashKey(key)
	if err != nil {
		panic(err) // the key generated above is well-formed
	}
	return key, stored
}

// HashKey returns the stored form of an API key, with a new random salt.
func HashKey(key string) (Key, error) {
	id, secret, err := SplitKey(key)
	if err != nil {
		return Key{}, err
	}
	salt := randomHex(keySaltBytes)
	return Key{ID: id, Salt: salt, Hash: hashSecret(salt, secret)}, nil
}

// SplitKey returns the public ID and the secret of an API key.
func SplitKey(key string) (pkid.KeyID, string, error) {
	parts := strings.Split(key, "_")
	if len(parts) != 3 || parts[0] != keyPrefix || parts[1] == "" || parts[2] == "" {
		return "", "", errKeyFormat
	}
	return pkid.KeyID(parts[1]), parts[2], nil
}

// Matches reports in constant time whether secret is the secret of k.
func (k Key) Matches(secret string) bool {
	return subtle.ConstantTimeCompare([]byte(hashSecret(k.Salt, secret)), []byte(k.Hash)) == 1
}

// hashSecret uses a fast hash, since it runs for each request and a secret of 24
// random bytes is not open to dictionary attacks.
func hashSecret(salt, secret string) string {
	sum := sha256.Sum256([]byte(salt + ":" + secret))
	return hex.EncodeToString(sum[:])
}

func randomHex(n int) string {
	raw := make([]byte, n)
	if _, err := rand.Read(raw); err != nil {
		panic(fmt.Sprintf("read random bytes: %v", err))
	}
	return hex.EncodeToString(raw)
}
