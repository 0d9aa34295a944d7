package flow

import (
	"time"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

// Question asks where a request would go now.
type Question struct {
	Method, Host string
	// URI is the path and the query.
	URI string
	// Team is the team of the request, or none if it shows no key.
	Team       types.Option[types.TeamName]
	BodyLength int
	// Service selects one service of a split, or none for each.
	Service types.Option[types.ServiceName]
}

// Explanation is where a request would go now and why. It is filled as far as the request
// would get.
type Explanation struct {
	Instance types.InstanceID
	Version  types.Version
	// Refused is the error with which the request would fail, or nil.
	Refused *fault.Error
	// Route is the route as it applies to the team's requests.
	Route conf.Route
	Team  types.Option[conf.Team]
	Cost  ExpectedCost
	// Services holds the service of the route, or the services of its split.
	Services []ServiceExplanation
	// Unknown says what this node can't tell.
	Unknown []string
}

// Fails reports whether the request would fail at its entry.
func (ex Explanation) Fails() bool { return ex.Refused != nil }

// CostBasis says what tells how long an attempt takes.
type CostBasis string

// The bases of an expected cost.
const (
	ByEstimator CostBasis = "estimator"
	ByRoute     CostBasis = "route"
	ByDefault   CostBasis = "default"
)

// ExpectedCost is how long an attempt is likely to take. Factor is the cost in relation to
// the usual request on the route, or 0 if nothing that is seen of the request tells it, and
// Features the number of features that do.
type ExpectedCost struct {
	Duration time.Duration
	Basis    CostBasis
	Factor   float64
	Features int
}

// ServiceExplanation is where a request for one service would go.
type ServiceExplanation struct {
	Service types.ServiceName
	// Weight is the weight of the service in a split, or 0 without one.
	Weight  int
	Refused *fault.Error
	// Choice says how one of the owners is taken.
	Choice string
	Owners []OwnerExplanation
	// Local is what the upstream of this node would do, or none if it has none of the
	// service.
	Local types.Option[admit.Preview]
}

// OwnerExplanation is what speaks for and against an owner.
type OwnerExplanation struct {
	ID      types.InstanceID
	Zone    types.Zone
	Version types.UpstreamVersion
	Slots   int
	// Excluded is the reason why the owner gets no work of this kind, or empty.
	Excluded string
	// Appraisal is valid if the owner is not excluded.
	Appraisal route.Appraisal
}
