package pipe

// Bounds limits what the requests of one connection may take up at the same time.
type Bounds struct {
	// Requests is the maximum number of requests that are read and not answered yet.
	Requests int
	// Running is the maximum number of requests that run.
	Running int
	// Bytes is the number of bytes of answers that wait for their turn from which on no
	// further request runs.
	Bytes int
}

// DefaultBounds returns the bounds of a connection for which nothing else is set.
func DefaultBounds() Bounds { return Bounds{Requests: 32, Running: 16, Bytes: 1 << 20} }

// EventKind is the kind of an Event.
type EventKind int

// The kinds of events of a connection.
const (
	// Arrived means that the head of a request has been read.
	Arrived EventKind = iota + 1
	// Ready means that an answer waits for its turn, or has been produced.
	Ready
	// Begun means that the head of the answer is about to be written.
	Begun
	// Written means that the whole answer has been written.
	Written
	// Broken means that the answer breaks off, which closes the connection.
	Broken
	// Gone means that the caller has closed the connection.
	Gone
	// Stopping means that the connection is to be closed after the requests read so far.
	Stopping
)

// Event is something that happens on a connection.
type Event struct {
	Kind EventKind
	// ID identifies the request, unless the event concerns the whole connection.
	ID int
	// Ahead is true if an arrived request may be repeated, and thus run before the
	// answers ahead of it are written.
	Ahead bool
	// Last is true if an arrived request asks to close the connection after its answer, if
	// an answer that has begun does so, or if a connection that stops is idle.
	Last bool
	// Refused is true if an arrived request is answered without running it.
	Refused bool
	// Bytes is the size of an answer that is ready.
	Bytes int
}

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of actions on a connection.
const (
	// Run starts the handler of the request.
	Run ActionKind = iota + 1
	// Hold keeps the request until a later action on it.
	Hold
	// Drop discards a request that has not run: it counts as not read.
	Drop
	// Read reads the head of the next request.
	Read
	// Turn lets the answer to the request be written.
	Turn
	// Cancel ends the context of the request.
	Cancel
	// Announce makes the answer that begins say that the connection closes after it.
	Announce
	// Close closes the connection.
	Close
)

// Action is what an event on a connection leads to.
type Action struct {
	Kind ActionKind
	// ID identifies the request, unless the action concerns the whole connection.
	ID int
}

// slot is the place of a request in a Line.
type slot struct {
	id                   int
	ahead, last, refused bool
	// broken is true if the answer breaks off.
	broken bool
	// ready is true if the answer is produced or waits for its turn.
	ready bool
	bytes int
}

// Line decides the order of the requests and answers of one connection.
type Line struct {
	bounds Bounds
	// queue holds the requests that run or whose answers are to be written, in the order
	// in which the caller sent them.
	queue []slot
	// held is the request that has been read but may not run yet.
	held    slot
	holding bool
	// last is true once a request has run after which the caller sends none. stopping is
	// true once the connection is to be closed after the requests in the queue. closed is
	// true once nothing further may run.
	last, stopping, closed bool
	actions                []Action
}

// NewLine returns the line of a new connection.
func NewLine(bounds Bounds) *Line { return &Line{bounds: bounds} }

// Len returns the number of requests that run or whose answers are to be written.
func (ln *Line) Len() int { return len(ln.queue) }

// Waiting returns the number of bytes of answers that wait for their turn.
func (ln *Line) Waiting() int {
	total := 0
	for i := range ln.queue {
		if i > 0 {
			total += ln.queue[i].bytes
		}
	}
	return total
}

// Step processes an event. The actions are valid until the next call.
func (ln *Line) Step(event Event) []Action {
	ln.actions = ln.actions[:0]
	switch event.Kind {
	case Arrived:
		ln.arrived(event)
	case Ready:
		if at := ln.find(event.ID); at >= 0 {
			ln.queue[at].ready, ln.queue[at].bytes = true, event.Bytes
			ln.admit()
		}
	case Begun:
		ln.begun(event)
	case Written:
		ln.written(event.ID)
	case Broken:
		ln.breakOff(event.ID)
	case Gone:
		ln.gone()
	case Stopping:
		ln.stopping = true
		if event.Last && len(ln.queue) == 0 && !ln.holding && !ln.closed {
			ln.shut()
			ln.act(Close, 0)
		}
	}
	return ln.actions
}

func (ln *Line) act(kind ActionKind, id int) {
	ln.actions = append(ln.actions, Action{Kind: kind, ID: id})
}

func (ln *Line) find(id int) int {
	for at := range ln.queue {
		if ln.queue[at].id == id {
			return at
		}
	}
	return -1
}

func (ln *Line) arrived(event Event) {
	ln.held, ln.holding = slot{id: event.ID, ahead: event.Ahead, last: event.Last, refused: event.Refused}, true
	if ln.closed {
		ln.drop()
		return
	}
	ln.admit()
	if ln.holding {
		ln.act(Hold, event.ID)
	}
}

// admit runs the held request if it may run.
func (ln *Line) admit() {
	if !ln.holding || ln.closed || !ln.mayRun() {
		return
	}
	next := ln.held
	ln.holding = false
	ln.queue = append(ln.queue, next)
	ln.act(Run, next.id)
	if len(ln.queue) == 1 {
		ln.act(Turn, next.id)
	}
	ln.last = next.last
	if !ln.last && !ln.stopping {
		ln.act(Read, 0)
	}
}

// mayRun reports whether the held request may run now. A request that can't be repeated
// runs only with nothing before it, so the last in the queue tells whether one runs.
func (ln *Line) mayRun() bool {
	count := len(ln.queue)
	if count == 0 || ln.held.refused {
		return true
	}
	if ln.stopping || ln.last || !ln.held.ahead || !ln.queue[count-1].ahead {
		return false
	}
	running := 0
	for i := range ln.queue {
		if !ln.queue[i].ready {
			running++
		}
	}
	return count < ln.bounds.Requests && running < ln.bounds.Running && ln.Waiting() < ln.bounds.Bytes
}

// begun decides whether the first answer closes the connection. It does not as long as
// others wait behind it, because their requests have been passed on.
func (ln *Line) begun(event Event) {
	if event.Last {
		ln.stopping = true
	}
	if (ln.stopping || ln.last) && len(ln.queue) == 1 {
		ln.shut()
		ln.act(Announce, event.ID)
	}
}

// written passes the turn on. If the connection stops and no answer has said so, the
// caller may have sent another request, which runs; the reader closes an idle connection.
func (ln *Line) written(id int) {
	if len(ln.queue) == 0 || ln.queue[0].id != id {
		return
	}
	ln.queue = append(ln.queue[:0], ln.queue[1:]...)
	switch {
	case len(ln.queue) == 0 && (ln.closed || ln.last):
		ln.shut()
		ln.act(Close, 0)
		return
	case len(ln.queue) > 0 && ln.queue[0].broken:
		ln.queue = ln.queue[:0]
		ln.act(Close, 0)
		return
	case len(ln.queue) > 0:
		ln.act(Turn, ln.queue[0].id)
	}
	ln.admit()
}

// breakOff closes the connection once the answers ahead of the broken one are written.
// The answers behind it can't be written any more.
func (ln *Line) breakOff(id int) {
	at := ln.find(id)
	if at < 0 {
		return
	}
	ln.queue[at].broken = true
	for _, behind := range ln.queue[at+1:] {
		ln.act(Cancel, behind.id)
	}
	ln.queue = ln.queue[:at+1]
	ln.shut()
	if at == 0 {
		ln.queue = ln.queue[:0]
		ln.act(Close, 0)
	}
}

func (ln *Line) gone() {
	for _, waiting := range ln.queue {
		ln.act(Cancel, waiting.id)
	}
	ln.shut()
	if len(ln.queue) == 0 {
		ln.act(Close, 0)
	}
}

// shut makes sure that no further request runs.
func (ln *Line) shut() {
	ln.closed = true
	if ln.holding {
		ln.drop()
	}
}

func (ln *Line) drop() {
	ln.act(Drop, ln.held.id)
	ln.holding = false
}
