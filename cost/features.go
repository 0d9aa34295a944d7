// Package cost estimates how long a request is likely to run, from what is seen of it
// before it runs. It needs no declaration: which of the features tell something is
// learned for each route.
//
// # Usage
//
//	estimator := cost.NewEstimator()
//	features := cost.Describe("GET", "/tiles/14/8803/5374?scale=2", 0).WithTeam("maps")
//	estimate, ok := estimator.Estimate("tiles", features)
//	estimator.Observe("tiles", features, 12*time.Millisecond, 0, now)
package cost

import (
	"math/bits"
	"strings"

	"github.com/cespare/xxhash/v2"

	"sequoiamill.example/sequoiamill/types"
)

// feature is one property of a request by which requests of a route are put into
// classes. They are ordered from coarse to fine: each one explains what those before it
// leave.
type feature int

const (
	byMethod feature = iota
	byTeam
	byBodyLength
	byPathShape
	byPathParent
	byQueryNames
	byQuery
	byPath
	byContent
	featureCount
)

// Features holds the class of a request in each feature. The zero value is a request of
// which nothing is known.
type Features struct {
	// classes holds hashes; 0 means that the class is not known.
	classes [featureCount]uint32
}

// Known reports whether anything is known of the request.
func (f Features) Known() bool { return f != Features{} }

// Describe returns the features that a request line and the length of the body in bytes
// show.
func Describe(method, uri string, bodyLength int) Features {
	path, query, _ := strings.Cut(uri, "?")
	parent := path[:strings.LastIndexByte(path, '/')+1]
	shape := strings.Count(path, "/")<<8 | bits.Len(uint(len(path)))
	var f Features
	f.classes[byMethod] = hashOf(method)
	f.classes[byBodyLength] = uint32(2*bits.Len(uint(bodyLength)) + 1)
	f.classes[byPathShape] = uint32(shape + 1)
	f.classes[byPathParent] = hashOf(parent)
	f.classes[byPath] = hashOf(path)
	f.classes[byQueryNames] = hashOfNames(query)
	f.classes[byQuery] = hashOf(query)
	return f
}

// WithTeam returns the features with the team of the request.
func (f Features) WithTeam(team types.TeamName) Features {
	f.classes[byTeam] = hashOf(string(team))
	return f
}

// WithContent returns the features with the hash by which the request is known when it
// comes again.
func (f Features) WithContent(content types.ContentHash) Features {
	f.classes[byContent] = uint32(content>>32) ^ uint32(content) | 1
	return f
}

// hashOf returns a hash that is not 0.
func hashOf(text string) uint32 { return uint32(xxhash.Sum64String(text)>>32) | 1 }

// hashOfNames returns a hash of the names in a query that does not depend on their order
// or values.
func hashOfNames(query string) uint32 {
	var sum uint32
	for query != "" {
		var pair string
		pair, query, _ = strings.Cut(query, "&")
		name, _, _ := strings.Cut(pair, "=")
		sum += hashOf(name)
	}
	return sum | 1
}
