package plat

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"sequoiamill.example/sequoiamill/fault"
)

// Era counts how often the platform has come back from an older copy of its objects.
// What was written after the copy was made is then lost, and revisions are given out
// again, so revisions are only comparable within an era. A platform that states no era
// is in era 0.
type Era uint64

// EraHeader is the header in which the platform states its era in each reply, in the
// product's own dialect.
const EraHeader = "Sequoiamill-Era"

// eraSeparator separates the era of a revision from its text.
const eraSeparator = "/"

// eraClock remembers the latest era that a platform stated. It is safe for concurrent
// use.
type eraClock struct {
	header string
	latest atomic.Uint64
}

// observe returns the era that the header of a reply states, or 0 if that is missing or
// malformed. The latest era does not go back, as when a reply was delayed.
func (ec *eraClock) observe(header http.Header) Era {
	stated, err := strconv.ParseUint(header.Get(ec.header), 10, 64)
	if err != nil {
		return 0
	}
	for latest := ec.latest.Load(); stated > latest; latest = ec.latest.Load() {
		if ec.latest.CompareAndSwap(latest, stated) {
			break
		}
	}
	return Era(stated)
}

// Revision returns the revision that the platform calls text in this era.
func (e Era) Revision(text string) Revision {
	if e == 0 {
		return Revision(text)
	}
	return Revision(strconv.FormatUint(uint64(e), 10) + eraSeparator + text)
}

// Era returns the era of a revision.
func (r Revision) Era() Era {
	text, _, found := strings.Cut(string(r), eraSeparator)
	era, err := strconv.ParseUint(text, 10, 64)
	if !found || err != nil {
		return 0
	}
	return Era(era)
}

// TextOf returns what the platform calls a revision. If the revision is of an era other
// than the latest one, the error is of kind fault.VersionConflict: the platform may have
// given the same text to another state of the object. An empty revision has an empty
// text.
func (ac *APIClient) TextOf(revision Revision) (string, error) {
	if revision == "" {
		return "", nil
	}
	era, text, found := strings.Cut(string(revision), eraSeparator)
	if !found {
		era, text = "0", string(revision)
	}
	if era != strconv.FormatUint(ac.era.latest.Load(), 10) {
		return "", fault.New(fault.VersionConflict, "the revision %q is of an earlier era", revision)
	}
	return text, nil
}

// EraStamped is embedded in the wire type of a reply to learn the era of the reply.
type EraStamped struct{ era Era }

// Era returns the era of the reply.
func (es *EraStamped) Era() Era { return es.era }

func (es *EraStamped) stamp(era Era) { es.era = era }

// Era returns the latest era that the platform stated in a reply.
func (ac *APIClient) Era() Era { return Era(ac.era.latest.Load()) }

// WithEraHeader sets the header in which the platform states its era.
func (ac *APIClient) WithEraHeader(name string) *APIClient {
	ac.era.header = name
	return ac
}
