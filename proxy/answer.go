package proxy

import (
	"crypto/sha256"
	"encoding/base64"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/types"
)

const digestPrefix = "sha-256=:"

// readAnswer reads and checks an upstream's answer.
func (ow *Owner) readAnswer(response *http.Response, job Job, requireEcho bool) Reply {
	if err := checkHead(response, job, requireEcho); err != nil {
		return lost(err)
	}
	body, err := readBody(response.Body, ow.maxBody)
	if fault.Is(err, fault.TooLarge) {
		return lost(fault.New(fault.BrokenAnswer, "the upstream's answer is above max-body, which is %d bytes", ow.maxBody))
	}
	if err != nil {
		return lost(fault.Wrap(fault.BrokenAnswer, err, "read the upstream's answer"))
	}
	if err := checkDigest(response, job.Method, body); err != nil {
		return lost(err)
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(HeaderOutcome) == fault.NotRun.String() {
		return refusal(shedFault(response.Header))
	}
	length := lengthOf(response, job.Method)
	stripOwnHeaders(response.Header)
	answer := Answer{Status: response.StatusCode, Header: response.Header, Body: body, Length: length}
	return Reply{Verdict: flow.Answered, Answer: answer}
}

// checkHead returns an error if an answer is not that of the job or if its
// end could not be told from a cut.
func checkHead(response *http.Response, job Job, requireEcho bool) *fault.Error {
	echo := response.Header.Get(HeaderRequestID)
	switch {
	case echo == "" && requireEcho:
		return fault.New(fault.BrokenAnswer, "the upstream's answer does not echo the request identifier")
	case echo != "" && echo != string(job.Request):
		return fault.New(fault.BrokenAnswer, "the upstream answered the request %q", echo)
	case response.StatusCode < http.StatusOK:
		return fault.New(fault.BrokenAnswer, "the upstream answered with the status %d", response.StatusCode)
	case hasBody(job.Method, response.StatusCode) && response.ContentLength < 0 && len(response.TransferEncoding) == 0:
		return fault.New(fault.BrokenAnswer, "the upstream's answer has neither a length nor a chunked end")
	default:
		return nil
	}
}

func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// lengthOf returns the length that an answer without a body states.
func lengthOf(response *http.Response, method string) types.Option[int64] {
	if hasBody(method, response.StatusCode) || response.StatusCode == http.StatusNoContent {
		return types.None[int64]()
	}
	length, err := strconv.ParseInt(response.Header.Get("Content-Length"), 10, 64)
	if err != nil || length < 0 {
		return types.None[int64]()
	}
	return types.Some(length)
}

// checkDigest compares a body with the SHA-256 digests of RFC 9530.
func checkDigest(response *http.Response, method string, body []byte) *fault.Error {
	if !hasBody(method, response.StatusCode) {
		return nil
	}
	names := []string{"Content-Digest"}
	if response.StatusCode == http.StatusOK {
		names = append(names, "Repr-Digest")
	}
	for _, name := range names {
		stated, ok := sha256Of(response.Header.Values(name))
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

func sha256Of(values []string) (string, bool) {
	for item := range strings.SplitSeq(strings.Join(values, ","), ",") {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(item), digestPrefix); ok {
			digest, _, _ := strings.Cut(rest, ":")
			return digest, true
		}
	}
	return "", false
}

// shedFault returns the error of an upstream that states not to have run the
// request.
func shedFault(header http.Header) *fault.Error {
	err := fault.New(fault.Overloaded, "the upstream shed the request")
	if millis, parseErr := strconv.ParseInt(header.Get(headerRetryAfter), 10, 64); parseErr == nil && millis > 0 {
		return err.WithRetryAfter(time.Duration(millis) * time.Millisecond)
	}
	if seconds, parseErr := strconv.Atoi(header.Get("Retry-After")); parseErr == nil && seconds > 0 {
		return err.WithRetryAfter(time.Duration(seconds) * time.Second)
	}
	return err
}
