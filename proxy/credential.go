package proxy

import (
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"strings"

	"sequoiamill.example/sequoiamill/types"
)

const (
	// headerCredential carries the key of a caller's team.
	headerCredential = "Authorization"
	// bearerScheme is the scheme under which callers send keys.
	bearerScheme = "bearer"
	// maxCredential is the size in bytes of the largest key that is looked at.
	maxCredential = 4 << 10
)

// ReadCredential returns the digest of the key that a request shows. There is none if the
// request has no such header or several, or if the header has another scheme, or no key or
// one that is too long.
func ReadCredential(header http.Header) types.Option[types.KeyDigest] {
	values := header[headerCredential]
	if len(values) != 1 {
		return types.None[types.KeyDigest]()
	}
	scheme, key, ok := strings.Cut(values[0], " ")
	key = strings.TrimSpace(key)
	if !ok || !strings.EqualFold(scheme, bearerScheme) || key == "" || len(key) > maxCredential {
		return types.None[types.KeyDigest]()
	}
	return types.Some(types.DigestKey(key))
}

// withoutCredential returns the headers without the caller's key. It does not change
// header, which other attempts read.
func withoutCredential(header http.Header) http.Header {
	if _, ok := header[headerCredential]; !ok {
		return header
	}
	kept := header.Clone()
	kept.Del(headerCredential)
	return kept
}

// secureContentHash returns a hash of the request that callers can't choose: none can send
// a request that is taken for one of another team.
func secureContentHash(job Job) types.ContentHash {
	hash := sha256.New()
	for _, text := range []string{job.Method, job.URI} {
		hash.Write([]byte(text + "\n"))
	}
	hash.Write(job.Body)
	return types.ContentHash(binary.LittleEndian.Uint64(hash.Sum(nil)))
}
