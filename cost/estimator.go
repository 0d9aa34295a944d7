package cost

import (
	"math"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

const (
	// maxRoutes is the maximum number of routes of which anything is kept.
	maxRoutes = 256
	// minRouteWeight is the least weight of a sample in the averages of a route. The
	// n-th sample has the weight 1/n until that falls below it.
	minRouteWeight = 0.002
	// maxStep limits the difference between the logarithms of a sample and of its
	// estimate, so that an outlier has little effect.
	maxStep = 3.0
	// minEvidence is the number of samples of a route from which estimates are given.
	minEvidence = 30
	// significance is how many standard errors the spread between the classes of a
	// feature lies above zero before the feature counts.
	significance = 3
	// minGain is the share of a route's variance that a feature explains at least
	// before it counts.
	minGain         = 0.02
	minimumDuration = 10 * time.Microsecond
)

// Estimate is what a request is likely to cost.
type Estimate struct {
	// Typical is the geometric mean of the duration.
	Typical time.Duration
	// Factor is the cost relative to the typical one of the route.
	Factor float64
	// Spread is the standard deviation of the natural logarithm of the duration about
	// the estimate.
	Spread float64
	// Basis is the number of features that tell something about the request.
	Basis int
}

// Mean returns the expected duration, which lies above the typical one by the spread.
func (e Estimate) Mean() time.Duration {
	return time.Duration(float64(e.Typical) * math.Exp(e.Spread*e.Spread/2))
}

// Estimator learns what requests cost. The memory that it takes is bounded. It is not
// safe for concurrent use.
type Estimator struct {
	routes  map[types.RouteName]*model
	classes classTable
}

// model is what is known of the requests of one route.
type model struct {
	seed    uint32
	samples int
	updated time.Time
	// logMean is the mean of the logarithms of the durations in seconds, and variance
	// their variance. spread is the variance about the estimates.
	logMean, variance, spread float64
	typical                   float64
	features                  [featureCount]explained
}

// explained is what the classes of one feature tell about the requests of one route.
type explained struct {
	// between is the mean product of what a sample and the earlier ones of its class
	// deviate. It is the variance between the classes, and 0 if these do not differ.
	// square is the mean of the squared products.
	between, square float64
	// within is the variance of the samples before the feature is taken into account.
	within  float64
	samples float64
}

// NewEstimator returns an estimator without samples.
func NewEstimator() *Estimator { return &Estimator{routes: map[types.RouteName]*model{}} }

// Estimate returns what a request on a route is likely to cost, or false if too little
// is known of the route.
func (e *Estimator) Estimate(route types.RouteName, features Features) (Estimate, bool) {
	m, ok := e.routes[route]
	if !ok || m.samples < minEvidence {
		return Estimate{}, false
	}
	deviation, basis := 0.0, 0
	for f := range featureCount {
		if features.classes[f] == 0 || !m.features[f].tells(m.variance) {
			continue
		}
		if c := e.classes.find(m.key(f, features.classes[f])); c != nil {
			deviation += float64(m.features[f].weight(float64(c.weight)) * float64(c.mean))
			basis++
		}
	}
	result := Estimate{Factor: 1, Spread: math.Sqrt(m.spread), Basis: basis}
	if basis > 0 {
		result.Factor = math.Exp(deviation)
	}
	result.Typical = time.Duration(m.typical * result.Factor)
	return result, true
}

// Observe adds a sample: the duration of the work of a request on a route that ended at
// the time now. slowness is the natural logarithm of how many times slower than usual the
// upstream is that ran it, or 0. It keeps the classes of a request from taking the blame
// for the upstream; the route's own figure is that of all upstreams as they are.
func (e *Estimator) Observe(route types.RouteName, features Features, elapsed time.Duration, slowness float64, now time.Time) {
	m := e.model(route)
	m.samples++
	m.updated = now
	weight := max(1/float64(m.samples), minRouteWeight)
	sample := math.Log(max(elapsed, minimumDuration).Seconds())
	if m.samples == 1 {
		m.logMean = sample
	}
	rest := min(max(sample-m.logMean, -maxStep), maxStep)
	m.logMean += float64(weight * rest)
	m.variance += float64(weight * (float64(rest*rest) - m.variance))
	m.typical = math.Exp(m.logMean) * float64(time.Second)
	rest -= slowness
	for f := range featureCount {
		if features.classes[f] != 0 {
			rest -= e.observeClass(m, f, features.classes[f], rest, now)
		}
	}
	m.spread += float64(weight * (float64(rest*rest) - m.spread))
}

// observeClass adds a sample to the class of a request in one feature. It returns the
// part of the deviation that the feature had foretold.
func (e *Estimator) observeClass(m *model, f feature, value uint32, rest float64, now time.Time) float64 {
	seen, known := e.classes.use(m.key(f, value), now)
	foretold := 0.0
	if known {
		ex := &m.features[f]
		if ex.tells(m.variance) {
			foretold = ex.weight(float64(seen.weight)) * float64(seen.mean)
		}
		ex.observe(rest, float64(seen.mean), float64(seen.weight))
	}
	seen.add(rest)
	return foretold
}

// observe adds a sample of a class of which earlier samples are known.
func (x *explained) observe(rest, mean, evidence float64) {
	x.samples = min(x.samples+1, 1/minRouteWeight)
	// One earlier sample says less about its class than many.
	trust := evidence / (evidence + 1)
	product := float64(rest * mean * trust)
	weight := 1 / x.samples
	x.between += float64(weight * (product - x.between))
	x.square += float64(weight * (float64(product*product) - x.square))
	x.within += float64(weight * (float64(rest*rest) - x.within))
}

// tells reports whether the classes differ by more than chance explains.
func (x *explained) tells(variance float64) bool {
	if x.samples < minEvidence || x.between <= minGain*variance {
		return false
	}
	deviation := math.Max(0, x.square-float64(x.between*x.between))
	return x.between*x.between*x.samples > significance*significance*deviation
}

// weight returns how much of the mean deviation of a class is believed, given the
// weight of its samples.
func (x *explained) weight(evidence float64) float64 {
	between := float64(evidence * x.between)
	return between / (between + math.Max(x.within-x.between, minGain*x.within))
}

// key returns the key of a class of one feature on the route.
func (m *model) key(f feature, value uint32) uint32 {
	const mix, step = 0x9e3779b1, 0x85ebca6b
	h := (value ^ m.seed + uint32(f+1)*step) * mix
	h ^= h >> 15
	h *= step
	return (h ^ h>>13) | 1
}

// model returns what is known of a route. If maxRoutes others are known, the least
// recently observed one is forgotten.
func (e *Estimator) model(route types.RouteName) *model {
	if m, ok := e.routes[route]; ok {
		return m
	}
	if len(e.routes) >= maxRoutes {
		e.forgetOldest()
	}
	m := &model{seed: hashOf(string(route))}
	e.routes[route] = m
	return m
}

func (e *Estimator) forgetOldest() {
	var oldest types.RouteName
	var found *model
	for name, m := range e.routes {
		if found == nil || m.updated.Before(found.updated) || m.updated.Equal(found.updated) && name < oldest {
			oldest, found = name, m
		}
	}
	delete(e.routes, oldest)
}
