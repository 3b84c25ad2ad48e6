// Package identity tells callers and operators apart by their keys.
package identity

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// ErrUnknown says that a key is missing or wrong; it never tells which.
var ErrUnknown = errors.New("identity: the key is missing or wrong")

// keyBytes is the number of random bytes in a key.
const keyBytes = 32

// absentHash is compared against where a name is unknown, so that both cases take the same time.
var absentHash = strings.Repeat("0", sha256.Size*2)

// NewKey returns a fresh key for a name, NAME.SECRET, and the hash that a configuration holds.
func NewKey(name string) (key, hash string) {
	secret := make([]byte, keyBytes)
	_, _ = rand.Read(secret) // crypto/rand never fails.
	key = name + "." + base64.RawURLEncoding.EncodeToString(secret)
	return key, Hash(key)
}

// Hash returns the hex SHA-256 of a key.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Name returns the name in a request's bearer key and the key.
func Name(r *http.Request) (name, key string, err error) {
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return "", "", ErrUnknown
	}
	name, _, found = strings.Cut(key, ".")
	if !found {
		return "", "", ErrUnknown
	}
	return name, key, nil
}

// Matches compares a key with a stored hash in constant time; an empty hash matches nothing.
func Matches(key, hash string) bool {
	known := hash != ""
	if !known {
		hash = absentHash
	}
	same := subtle.ConstantTimeCompare([]byte(Hash(key)), []byte(strings.ToLower(hash))) == 1
	return same && known
}
