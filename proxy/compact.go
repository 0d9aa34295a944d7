package proxy

import (
	"net/http"
	"strings"
	"sync"
)

const (
	// CompactForwardPath is ForwardPath for jobs whose internal headers are compact. An
	// owner of an earlier build has no such path, so that it never runs such a job.
	CompactForwardPath = "/c"
	// headerCompact holds the internal headers of a job or reply in compact form.
	headerCompact = "Sequoiamill-C"
	// headerTakesCompact is set in replies by owners that take compact jobs.
	headerTakesCompact = "Sequoiamill-Takes-Compact"
	// compactSeparator separates the fields of headerCompact. A header whose value
	// contains it is sent as it is.
	compactSeparator = "\t"
	// maxCompactOwners bounds the owners that a forwarder knows to take compact jobs.
	maxCompactOwners = 4096
)

// compactNames holds the headers that are sent in compact form. A header's code is the
// letter of its place, so that names are only ever appended.
var compactNames = []string{
	HeaderRequestID, HeaderTimeLeft, HeaderOutcome, HeaderErrorKind, headerEntry, headerService, headerRoute, headerImportance,
	headerIdempotent, headerMethod, headerURI, headerHost, headerVerdict, headerStatus, headerDigest, headerOutstanding,
	headerQueued, headerLinkWait, headerFaultShare, headerRateWait, headerRetryAfter, headerWorkLeft, headerRan, headerCostFactor,
	headerAtOwner, headerSoftDeadlineLeft, headerContent, HeaderTeam,
}

// firstCompactCode is the code of the first of compactNames.
const firstCompactCode = 'A'

// compact moves the internal headers of a job or reply into headerCompact. They are most
// of the bytes of a refused attempt.
func compact(header http.Header) {
	var fields []string
	for place, name := range compactNames {
		values := header[name]
		if len(values) != 1 || strings.Contains(values[0], compactSeparator) {
			continue
		}
		fields = append(fields, string(rune(firstCompactCode+place))+values[0])
		delete(header, name)
	}
	header.Set(headerCompact, strings.Join(fields, compactSeparator))
}

// expand reverses compact. It ignores fields that it doesn't know.
func expand(header http.Header) {
	for field := range strings.SplitSeq(header.Get(headerCompact), compactSeparator) {
		if field == "" {
			continue
		}
		if place := int(field[0]) - firstCompactCode; place >= 0 && place < len(compactNames) {
			header[compactNames[place]] = []string{field[1:]}
		}
	}
	header.Del(headerCompact)
}

// compactOwners holds the addresses of the owners that take compact jobs. It is safe for
// concurrent use.
type compactOwners struct {
	mu    sync.Mutex
	known map[string]bool
}

func (co *compactOwners) has(address string) bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.known[address]
}

// set records whether the owner at an address takes compact jobs.
func (co *compactOwners) set(address string, takes bool) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if !takes {
		delete(co.known, address)
		return
	}
	if co.known == nil || len(co.known) >= maxCompactOwners {
		co.known = map[string]bool{}
	}
	co.known[address] = true
}
