package proxy

import (
	"crypto/sha256"
	"encoding/base64"
	"net/http"
	"strconv"
	"strings"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/types"
)

// digestPrefix precedes the Base64 of a SHA-256 digest in a digest header.
const digestPrefix = "sha-256=:"

// checkResponse checks an upstream's response for a refusal and a wrong digest,
// and returns the result of the job.
func (ow *Owner) checkResponse(response *http.Response, body []byte, job Job) Result {
	if err := ow.dialect.Refusal(response); err != nil {
		return Result{Verdict: flow.NotRun, Err: err, RefusedByUpstream: true}
	}
	if err := checkDigest(response, job.Method, body); err != nil {
		return unknownOutcomeResult(err)
	}
	length := statedLength(response, job.Method)
	stripInternalHeaders(response.Header)
	checked := Response{Status: response.StatusCode, Header: response.Header, Body: body, ContentLength: length}
	return Result{Verdict: flow.Answered, Response: checked}
}

// hasBody reports whether a response with this status to a request with this
// method has a body.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// statedLength returns the Content-Length of a response that may state a length
// although it has no body: a response to a HEAD request, or a 304. For any other
// response, it returns none.
func statedLength(response *http.Response, method string) types.Option[int64] {
	if hasBody(method, response.StatusCode) || response.StatusCode == http.StatusNoContent {
		return types.None[int64]()
	}
	length, err := strconv.ParseInt(response.Header.Get("Content-Length"), 10, 64)
	if err != nil || length < 0 {
		return types.None[int64]()
	}
	return types.Some(length)
}

// checkDigest compares a body with the SHA-256 digests in Content-Digest and
// Repr-Digest (RFC 9530), if there are any. Repr-Digest covers the body only if
// the status is 200.
func checkDigest(response *http.Response, method string, body []byte) *fault.Error {
	if !hasBody(method, response.StatusCode) {
		return nil
	}
	names := []string{"Content-Digest"}
	if response.StatusCode == http.StatusOK {
		names = append(names, "Repr-Digest")
	}
	for _, name := range names {
		stated, ok := parseSHA256Digest(response.Header.Values(name))
		if !ok {
			continue
		}
		sum := sha256.Sum256(body)
		if stated != base64.StdEncoding.EncodeToString(sum[:]) {
			return fault.New(fault.BrokenAnswer, "the upstream's answer does not match its %s", name)
		}
	}
	return nil
}

func parseSHA256Digest(values []string) (string, bool) {
	for item := range strings.SplitSeq(strings.Join(values, ","), ",") {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(item), digestPrefix); ok {
			digest, _, _ := strings.Cut(rest, ":")
			return digest, true
		}
	}
	return "", false
}
