package declarer

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// hashPrefix names the hash function in a key's stored form.
const hashPrefix = "sha256:"

// inlineKeyBytes is the length of key, in bytes, that is hashed on the stack.
const inlineKeyBytes = 256

// Key lets the callers who show it act for a team. Only its hash is kept.
type Key struct {
	// Name is unique among keys. It may appear in logs.
	Name string
	// Team owns the key.
	Team string
	// Hash is "sha256:" and the hash of the key in lower-case hexadecimal. No two
	// keys have the same.
	Hash string
	// Withdrawn says that the key no longer works. It stays declared so that
	// callers who still show it are told so.
	Withdrawn bool `toml:",omitempty"`
}

// KeyHash is the SHA-256 hash of a key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key as a caller shows it. It makes no allocation
// for a key of at most inlineKeyBytes.
func HashKey(secret string) KeyHash {
	if len(secret) > inlineKeyBytes {
		return sha256.Sum256([]byte(secret))
	}
	var buffer [inlineKeyBytes]byte
	length := copy(buffer[:], secret)
	return sha256.Sum256(buffer[:length])
}

// String returns the form that Key.Hash holds.
func (h KeyHash) String() string {
	return hashPrefix + hex.EncodeToString(h[:])
}

// ParseKeyHash reads the form that Key.Hash holds and says whether it is well
// formed.
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

// WithWithdrawn returns a copy that no longer works.
func (k Key) WithWithdrawn() Key {
	k.Withdrawn = true
	return k
}
