package blame

import (
	"time"

	"sequoiamill.example/sequoiamill/types"
)

// trialTime is how long one instance may try a request on trial, before the next one does.
const trialTime = time.Second

// Trial says how a request may run that is suspected and not held back.
type Trial struct {
	// Crashes is the number of crashes that the request explains.
	Crashes int
	// Turn numbers the instances that may try the request, one at a time. It is
	// negative while none may.
	Turn int
	// Next is when the next turn begins.
	Next time.Time
}

// Trial returns how a request on trial may run, or false if it may run anywhere or is
// held back. All nodes with the same evidence return the same turn, but for the time that
// the evidence was on its way.
func (ld *Ledger) Trial(content types.ContentHash, now time.Time) (Trial, bool) {
	hold, ok := ld.verdicts.held[content]
	if !ok {
		hold, ok = ld.verdicts.suspected[content]
		if !ok || now.Before(hold.From) {
			return Trial{}, false
		}
		if now.Before(hold.Until) {
			return Trial{Crashes: hold.Crashes, Turn: -1, Next: hold.Until}, true
		}
	}
	if now.Before(hold.Until) {
		return Trial{}, false
	}
	turn := int(now.Sub(hold.Until) / trialTime)
	return Trial{Crashes: hold.Crashes, Turn: turn, Next: hold.Until.Add(time.Duration(turn+1) * trialTime)}, true
}
