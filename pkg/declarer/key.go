package declarer

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// hashPrefix names the hash function in the stored form of a key's hash.
const hashPrefix = "sha256:"

// maxStackKeyBytes is the length of the longest key, in bytes, that HashKey copies to
// the stack instead of the heap.
const maxStackKeyBytes = 256

// Key declares a secret with which callers act for a team. Only the hash of the secret
// is declared and stored, never the secret itself.
type Key struct {
	// Name is unique among keys. It may appear in logs.
	Name string
	// Team is the name of the declared team that owns the key.
	Team string
	// Hash is "sha256:" followed by the SHA-256 hash of the key in lower-case
	// hexadecimal digits. No two keys have the same hash.
	Hash string
	// Withdrawn says that the key no longer works. A withdrawn key stays declared so
	// that a caller who still uses it gets the reason KeyWithdrawn instead of
	// KeyUnknown.
	Withdrawn bool `toml:",omitempty"`
}

// KeyHash is the SHA-256 hash of a key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key in clear text, as a caller sends it. It does not
// allocate for a key of at most maxStackKeyBytes.
func HashKey(secret string) KeyHash {
	if len(secret) > maxStackKeyBytes {
		return sha256.Sum256([]byte(secret))
	}
	var buffer [maxStackKeyBytes]byte
	length := copy(buffer[:], secret)
	return sha256.Sum256(buffer[:length])
}

// String returns the hash in the form of Key.Hash.
func (h KeyHash) String() string {
	return hashPrefix + hex.EncodeToString(h[:])
}

// ParseKeyHash parses the form of Key.Hash. It returns false if text is malformed, as
// with upper-case digits.
func ParseKeyHash(text string) (KeyHash, bool) {
	var hash KeyHash
	digits, found := strings.CutPrefix(text, hashPrefix)
	if !found || digits != strings.ToLower(digits) {
		return hash, false
	}
	raw, err := hex.DecodeString(digits)
	if err != nil || len(raw) != len(hash) {
		return hash, false
	}
	copy(hash[:], raw)
	return hash, true
}

// ObjectName returns the key's name.
func (k Key) ObjectName() string {
	return k.Name
}

// WithWithdrawn returns a copy that is withdrawn.
func (k Key) WithWithdrawn() Key {
	k.Withdrawn = true
	return k
}
