package fescuebank

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// keySecretBytes is the number of random bytes in a generated key.
const keySecretBytes = 24

// keyPrefix marks the keys that the system generates.
const keyPrefix = "fb-"

// KeyHash is the SHA-256 of a key. Only hashes of keys are stored, never keys.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key as presented by a caller.
func HashKey(key string) KeyHash {
	return sha256.Sum256([]byte(key))
}

// NewKey returns a random key. It is shown only once, to the operator who requested it.
func NewKey() string {
	var b [keySecretBytes]byte
	_, _ = rand.Read(b[:])
	return keyPrefix + hex.EncodeToString(b[:])
}

// String returns the hash as hexadecimal digits.
func (h KeyHash) String() string {
	return hex.EncodeToString(h[:])
}

// MarshalText writes the hash as hexadecimal digits.
func (h KeyHash) MarshalText() ([]byte, error) {
	return []byte(h.String()), nil
}

// UnmarshalText reads hexadecimal digits.
func (h *KeyHash) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil || len(b) != len(h) {
		return fmt.Errorf("KeyHash.UnmarshalText: want %d hexadecimal digits", 2*len(h))
	}
	copy(h[:], b)
	return nil
}

var _ json.Unmarshaler = (*TeamKey)(nil)

// TeamKey is a key of a team, known by its hash.
type TeamKey struct {
	// Hash is the SHA-256 of the key and unique over all teams.
	Hash KeyHash `json:"hash"`
	// Label names the key for operators. It is not secret.
	Label string `json:"label,omitempty"`
}

// UnmarshalJSON rejects unknown fields, so that a key that was pasted into the wrong
// field is reported.
func (k *TeamKey) UnmarshalJSON(b []byte) error {
	type plain TeamKey
	return strictUnmarshal(b, (*plain)(k))
}
