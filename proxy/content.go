package proxy

import (
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"sequoiamill.example/sequoiamill/types"
)

// requestHeaders are the headers that differ between two sendings of the same request,
// or that say by which way it came. They say nothing about its caller.
var requestHeaders = types.NewSet(
	"Accept-Encoding", "Baggage", "Date", "Forwarded", HeaderIdempotencyKey, headerForwardedFor,
	"Sentry-Trace", "Traceparent", "Tracestate", "Uber-Trace-Id", "Via", "X-Amzn-Trace-Id", "X-Cloud-Trace-Context",
	"X-Correlation-Id", "X-Forwarded-Host", "X-Forwarded-Port", "X-Forwarded-Proto", "X-Real-Ip", "X-Request-Id",
	"X-Request-Start", "X-Trace-Id",
)

// callerHash returns a hash of the headers by which callers differ: all but those of one
// sending or one connection. It does not depend on the order of the headers.
func callerHash(header http.Header) uint64 {
	var sum uint64
	for name, values := range header {
		if requestHeaders.Has(name) || strings.HasPrefix(name, headerPrefix) || strings.HasPrefix(name, "X-B3-") {
			continue
		}
		for _, value := range values {
			sum += xxhash.Sum64String(name + "\n" + value)
		}
	}
	return sum
}

// contentHash returns the hash by which a request on one route is known when it comes
// again. The host is no part of it, as it may be the address of a node. Where there are teams, the caller is
// known by its team, which the state machine adds.
func contentHash(job Job, caller uint64, teams bool) types.ContentHash {
	if teams {
		return secureContentHash(job)
	}
	return types.ContentHash(job.hash(caller, job.Method, job.URI))
}

// hash returns a hash of the body and of other parts of the request.
func (j Job) hash(seed uint64, parts ...string) uint64 {
	hash := xxhash.NewWithSeed(seed)
	for _, text := range parts {
		_, _ = hash.WriteString(text + "\n")
	}
	_, _ = hash.Write(j.Body)
	return hash.Sum64()
}
