package cost

import (
	"math"
	"time"
)

const (
	// sets is the number of sets of the table of classes, and ways how many classes
	// each of them holds.
	sets = 1 << 12
	ways = 4
	// maxClassWeight limits the weight of the earlier samples of a class, so that it
	// follows a change.
	maxClassWeight = 64
	// classHalfLife is the time after which the weight of a sample has halved.
	classHalfLife = 2 * time.Minute
)

// class is what is known of the requests of one class.
type class struct {
	// key tells the class from others of its set. 0 is a free place.
	key uint32
	// mean is the mean deviation of the samples, and weight their number, less that of
	// old ones.
	mean, weight float32
	// updated is the time of the last sample in seconds since the first one in the
	// table.
	updated float32
}

// add adds a sample to the mean.
func (c *class) add(rest float64) {
	c.weight = min(c.weight+1, maxClassWeight)
	c.mean += (float32(rest) - c.mean) / c.weight
}

// at returns the weight at a time, in seconds since the first sample in the table.
func (c *class) at(seconds float32) float32 {
	if c.key == 0 {
		return 0
	}
	age := float64(max(0, seconds-c.updated))
	return c.weight * float32(math.Exp2(-age/classHalfLife.Seconds()))
}

// classTable holds a bounded number of classes. In a full set, a new class takes the
// place of the one with the least weight, so that classes seen once do not displace
// those seen often.
type classTable struct {
	places []class
	start  time.Time
}

// set returns the places where a class may be.
func (t *classTable) set(key uint32) []class {
	i := int(key>>1&(sets-1)) * ways
	return t.places[i : i+ways : i+ways]
}

// find returns a class, or nil if it is not known.
func (t *classTable) find(key uint32) *class {
	if t.places == nil {
		return nil
	}
	set := t.set(key)
	for i := range set {
		if set[i].key == key {
			return &set[i]
		}
	}
	return nil
}

// use returns the place of a class with the weight that it has now, and whether the
// class was known.
func (t *classTable) use(key uint32, now time.Time) (*class, bool) {
	if t.places == nil {
		t.places, t.start = make([]class, sets*ways), now
	}
	seconds := float32(now.Sub(t.start).Seconds())
	if known := t.find(key); known != nil {
		known.weight, known.updated = known.at(seconds), seconds
		return known, true
	}
	set := t.set(key)
	weakest, least := 0, float32(math.Inf(1))
	for i := range set {
		if weight := set[i].at(seconds); weight < least {
			weakest, least = i, weight
		}
	}
	set[weakest] = class{key: key, updated: seconds}
	return &set[weakest], false
}
