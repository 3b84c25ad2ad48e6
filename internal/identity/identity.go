// Package identity authenticates callers and operators by their keys, and boxes by certificates.
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

// ErrUnknown reports that a key is missing or wrong. It doesn't reveal which, so that names can't be probed.
var ErrUnknown = errors.New("identity: the key is missing or wrong")

// keyBytes is the number of random bytes in a key.
const keyBytes = 32

// absentHash is compared with the key if the name is unknown, so that unknown names and wrong keys take the same time.
var absentHash = strings.Repeat("0", sha256.Size*2)

// NewKey returns a new random key of the form NAME.SECRET, and its hash for the configuration.
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

// Name returns the bearer key of a request and the name that the key contains.
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

// Matches reports whether a key has the stored hash, in constant time. An empty hash matches no key.
func Matches(key, hash string) bool {
	known := hash != ""
	if !known {
		hash = absentHash
	}
	same := subtle.ConstantTimeCompare([]byte(Hash(key)), []byte(strings.ToLower(hash))) == 1
	return same && known
}
