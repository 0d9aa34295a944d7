package types

import (
	"crypto/sha256"
	"encoding/hex"
)

// TeamName names a team, a group of callers that shares keys and limits.
type TeamName string

// UpstreamVersion names the version of the software that an upstream runs.
type UpstreamVersion string

// KeyDigest is the SHA-256 digest of a secret key by which callers show their team. The
// key itself is never kept, and two digests tell nothing about how alike their keys are.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// String hides the digest, so that it does not get into logs by mistake. Hex returns it.
func (KeyDigest) String() string { return "key-digest" }

// Hex returns the digest in hexadecimal.
func (d KeyDigest) Hex() string { return hex.EncodeToString(d[:]) }

// ParseKeyDigest returns the digest that Hex formatted as text, or false if text is none.
func ParseKeyDigest(text string) (KeyDigest, bool) {
	var digest KeyDigest
	bytes, err := hex.DecodeString(text)
	if err != nil || len(bytes) != len(digest) {
		return digest, false
	}
	copy(digest[:], bytes)
	return digest, true
}
