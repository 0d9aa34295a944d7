package flow_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/flow"
)

// TestAges plays a route whose callers leave 2.5 s with a first attempt, less
// with the next, and some of them more.
func TestAges(t *testing.T) {
	is := is.New(t)
	source := rand.New(rand.NewPCG(1, 1))
	ages := flow.NewAges()
	for range 2000 {
		switch source.IntN(10) {
		case 0:
			ages.Observe("r", 10*time.Second)
		case 1, 2, 3, 4, 5:
			ages.Observe("r", time.Duration(source.IntN(2000))*time.Millisecond)
		default:
			ages.Observe("r", 2500*time.Millisecond)
		}
	}
	is.Equal(ages.Observe("r", 2500*time.Millisecond), time.Duration(0))
	is.Equal(ages.Observe("r", 2*time.Second), 500*time.Millisecond)
	is.Equal(ages.Observe("r", 10*time.Second), time.Duration(0))
}

// TestAgesOfMixedCallers can't tell anything where no limit is common.
func TestAgesOfMixedCallers(t *testing.T) {
	is := is.New(t)
	source := rand.New(rand.NewPCG(1, 1))
	ages := flow.NewAges()
	for number := range 2000 {
		age := ages.Observe("r", time.Duration(source.IntN(60_000))*time.Millisecond)
		is.True(number < 100 || age == 0)
	}
}
