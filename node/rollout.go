package node

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"sequoiamill.example/sequoiamill/canary"
	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/plat"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

const (
	// orderInterval is the average time between two reads of the orders by a delegate. They
	// are reads of a cached copy, which cost the platform little.
	orderInterval = time.Second
	// orderTimeout is the deadline of the calls to the platform for one order.
	orderTimeout = 2 * time.Second
	// answerPatience is how long another state may stand in an order's object while the
	// roll-out runs until a delegate writes it again. Cached reads may be late. A final state
	// is written at once.
	answerPatience = 3 * time.Second
	// readingDelay is by how much a deadline is taken to be earlier, at most readingPart of
	// the order's time, as the order was written before it was read.
	readingDelay = 2 * time.Second
	readingPart  = 0.15
)

// rolloutReader is what a node remembers of the orders that it has read.
type rolloutReader struct {
	orders types.Option[Orders]
	// taken are the orders that this node has handed to its state machine.
	taken map[types.ServiceName]canary.OrderID
	// unanswered is since when the state in an order's object is not the roll-out's.
	unanswered map[types.ServiceName]time.Time
	// refused are the orders that this node has reported as not valid.
	refused map[types.ServiceName]canary.OrderID
}

func newRolloutReader(orders Orders) rolloutReader {
	return rolloutReader{
		orders: types.Some(orders), taken: map[types.ServiceName]canary.OrderID{},
		unanswered: map[types.ServiceName]time.Time{}, refused: map[types.ServiceName]canary.OrderID{},
	}
}

// readOrders reads the orders of roll-outs while the node is a delegate, until ctx ends.
func (nd *Node) readOrders(ctx context.Context) error {
	orders, ok := nd.rollouts.orders.Get()
	if !ok {
		<-ctx.Done()
		return nil
	}
	for ctx.Err() == nil {
		sleep(ctx, jitter(orderInterval))
		decides, held := false, false
		nd.loop.read(func(state *core.State) {
			decides, held = state.DecidesRollouts(nd.now()) || state.Fleet().LiveCount() == 0, state.VersionsHeld(nd.now())
		})
		if !decides || ctx.Err() != nil {
			continue
		}
		list := nd.store.ListCached
		if held {
			// The order for a version that has come may be too late for a cached copy.
			list = nd.store.List
		}
		call, cancel := context.WithTimeout(ctx, orderTimeout)
		objects, err := list(call, orders.Kind)
		cancel()
		if err == nil {
			nd.takeOrders(ctx, orders, objects)
		}
	}
	return nil
}

// takeOrders takes the orders that are new and looks after the others.
func (nd *Node) takeOrders(ctx context.Context, orders Orders, objects []plat.Object) {
	listed := map[types.ServiceName]bool{}
	for _, object := range objects {
		order, err := orders.Read(object)
		if err == nil {
			err = order.validate()
		}
		service, id := types.ServiceName(object.Name.Name), orderID(object)
		listed[service] = true
		switch {
		case err != nil || order.Service != service:
			nd.refuseOrder(service, id, err)
		case nd.rollouts.taken[service] != id:
			nd.takeOrder(ctx, order, object)
		default:
			nd.checkAnswer(ctx, orders, order, object)
		}
	}
	for _, known := range nd.rolloutStatus() {
		if !known.Phase.Final() && !listed[known.Order.Service] {
			nd.checkWithdrawn(ctx, orders, known.Order)
		}
	}
}

func (nd *Node) refuseOrder(service types.ServiceName, id canary.OrderID, err error) {
	if nd.rollouts.refused[service] == id {
		return
	}
	nd.rollouts.refused[service] = id
	if err == nil {
		err = fault.New(fault.InvalidInput, "the order at %q is for another service", service)
	}
	nd.recordEvent(trace.Event{Kind: trace.RolloutChanged, Subject: nd.settings.Instance, Detail: "order refused: " + fault.From(err).Message})
}

// takeOrder hands a new order to the state machine, as far as the store says it has come. If
// the store does not answer, the order is on trial nevertheless: that bounds the exposure.
func (nd *Node) takeOrder(ctx context.Context, order StoredOrder, object plat.Object) {
	now := nd.now()
	margin := min(readingDelay, time.Duration(readingPart*float64(order.Duration)))
	read := core.RolloutRead{Phase: canary.Trial, Order: canary.Order{
		ID: orderID(object), Service: order.Service, To: order.To, Sequence: now.UnixMilli(),
		Start: now, Deadline: now.Add(order.Duration - margin),
	}}
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	fresh, err := nd.store.Get(call, object.Name)
	if fault.Is(err, fault.NotFound) || err == nil && orderID(fresh) != read.Order.ID {
		return
	}
	if err == nil && order.State != 0 && order.State != canary.Running {
		read, err = nd.answeredOrder(call, order, read)
	}
	var stored core.RolloutRead
	if err == nil {
		stored, err = nd.storeProgress(call, read)
	}
	if err == nil {
		nd.rollouts.taken[order.Service] = read.Order.ID
		read = stored
	}
	nd.loop.post(read)
}

// answeredOrder returns an order whose object has a final state as far as it has come. If the
// store knows of an earlier order, the state is the answer to that one.
func (nd *Node) answeredOrder(ctx context.Context, order StoredOrder, read core.RolloutRead) (core.RolloutRead, error) {
	_, err := nd.store.Get(ctx, plat.Name{Kind: ProgressKind, Name: string(order.Service)})
	switch {
	case err == nil:
		return read, nil
	case !fault.Is(err, fault.NotFound):
		return read, err
	case order.State == canary.Completed:
		read.Phase = canary.Done
	default:
		read.Phase = canary.Back
	}
	read.Reason = "answered before"
	return read, nil
}

// storeProgress writes how far a roll-out has come, unless the store says that it has come
// further or holds a later order. It returns what the store then holds of the order. If
// another node writes at the same time, or the answer is lost, it looks again what the store
// holds.
func (nd *Node) storeProgress(ctx context.Context, read core.RolloutRead) (core.RolloutRead, error) {
	stored, err := nd.tryProgress(ctx, read)
	if err != nil && ctx.Err() == nil && !errors.Is(err, errLaterOrder) {
		stored, err = nd.tryProgress(ctx, read)
	}
	return stored, err
}

// errLaterOrder means that another order has taken the place of the one that is decided on.
var errLaterOrder = errors.New("the service has a later order")

func (nd *Node) tryProgress(ctx context.Context, read core.RolloutRead) (core.RolloutRead, error) {
	name := plat.Name{Kind: ProgressKind, Name: string(read.Order.Service)}
	object, err := nd.store.Get(ctx, name)
	if err != nil && !fault.Is(err, fault.NotFound) {
		return core.RolloutRead{}, err
	}
	object.Name = name
	if err == nil {
		var settled bool
		if read, settled, err = mergeProgress(read, object); settled || err != nil {
			return read, err
		}
	}
	body, err := progressToBody(read.Order, read.Phase, read.Reason)
	if err != nil {
		return core.RolloutRead{}, err
	}
	_, err = nd.store.Put(ctx, object.WithBody(body))
	return read, err
}

// mergeProgress compares what is to be written with what the store holds. settled is true if
// nothing is to be written. A stored state that can't be read is replaced.
func mergeProgress(read core.RolloutRead, object plat.Object) (merged core.RolloutRead, settled bool, err error) {
	stored, _ := progressFrom(object)
	switch {
	case stored.Order.Same(read.Order) && (stored.Phase >= read.Phase || stored.Phase.Final()):
		return stored, true, nil
	case stored.Order.Same(read.Order):
		read.Order = stored.Order
	case read.Phase != canary.Trial && stored.Order.Sequence > read.Order.Sequence:
		return read, false, errLaterOrder
	default:
		read.Order.Sequence = max(read.Order.Sequence, stored.Order.Sequence+1)
	}
	return read, false, nil
}

// advanceRollout writes the next phase of a roll-out, and the answer to its order. Only what
// the store has taken comes into force. If the answer of the store is lost, the delegates
// ask again and find what it holds.
func (nd *Node) advanceRollout(effect core.AdvanceRollout) {
	orders, ok := nd.rollouts.orders.Get()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(nd.runCtx, orderTimeout)
	defer cancel()
	read := core.RolloutRead(effect)
	object, err := nd.store.Get(ctx, plat.Name{Kind: orders.Kind, Name: string(effect.Order.Service)})
	switch {
	case fault.Is(err, fault.NotFound):
		read.Phase, read.Reason = canary.Back, "the order was withdrawn"
	case err != nil:
		nd.rolloutFailed(read, err)
		return
	case orderID(object) != effect.Order.ID:
		read.Phase, read.Reason = canary.Back, "another order took its place"
		nd.loop.post(read)
		return
	}
	stored, storeErr := nd.storeProgress(ctx, read)
	if storeErr != nil {
		nd.rolloutFailed(read, storeErr)
		return
	}
	nd.loop.post(stored)
	if err == nil {
		nd.answerOrder(ctx, orders, object, stored.Phase.State())
	}
}

func (nd *Node) rolloutFailed(read core.RolloutRead, err error) {
	detail := fmt.Sprintf("service %s: phase %s not written: %s", read.Order.Service, read.Phase, fault.From(err).Error())
	nd.recordEvent(trace.Event{Kind: trace.PlatformFailed, Subject: nd.settings.Instance, Detail: detail})
}

// answerOrder writes the state of a roll-out to the object of its order, if that has not
// changed.
func (nd *Node) answerOrder(ctx context.Context, orders Orders, object plat.Object, state canary.State) {
	order, err := orders.Read(object)
	if err != nil || nd.store.PutStatus == nil {
		return
	}
	order.State = state
	if object.Status = orders.Answer(order); object.Status == nil {
		return
	}
	if _, err := nd.store.PutStatus(ctx, object); err != nil {
		detail := fmt.Sprintf("service %s: state %s not written: %s", order.Service, state, fault.From(err).Error())
		nd.recordEvent(trace.Event{Kind: trace.PlatformFailed, Subject: nd.settings.Instance, Detail: detail})
	}
}

// checkAnswer writes the answer to an order if it has been missing for a while: the node that
// decided may have ended before it wrote it, or the store may have lost it.
func (nd *Node) checkAnswer(ctx context.Context, orders Orders, order StoredOrder, object plat.Object) {
	now := nd.now()
	for _, known := range nd.rolloutStatus() {
		if known.Order.Service != order.Service || known.Order.ID != orderID(object) {
			continue
		}
		if nd.store.PutStatus == nil || known.Phase.State() == order.State {
			delete(nd.rollouts.unanswered, order.Service)
			return
		}
		since, ok := nd.rollouts.unanswered[order.Service]
		if !ok {
			since, nd.rollouts.unanswered[order.Service] = now, now
		}
		if order.State != 0 && !known.Phase.Final() && now.Sub(since) < answerPatience {
			return
		}
		delete(nd.rollouts.unanswered, order.Service)
		nd.writeAnswer(ctx, orders, object, known)
	}
}

// writeAnswer reads the order again before it answers it, as the copy may be old.
func (nd *Node) writeAnswer(ctx context.Context, orders Orders, cached plat.Object, known canary.Status) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	object, err := nd.store.Get(ctx, cached.Name)
	if err != nil || orderID(object) != known.Order.ID {
		return
	}
	stored, err := nd.storeProgress(ctx, core.RolloutRead{Order: known.Order, Phase: known.Phase, Reason: known.Reason})
	if err != nil {
		return
	}
	nd.loop.post(stored)
	order, err := orders.Read(object)
	if err == nil && order.State != stored.Phase.State() {
		nd.answerOrder(ctx, orders, object, stored.Phase.State())
	}
}

// checkWithdrawn takes a roll-out back whose order is gone. Nothing more is sent to its
// version.
func (nd *Node) checkWithdrawn(ctx context.Context, orders Orders, order canary.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_, err := nd.store.Get(ctx, plat.Name{Kind: orders.Kind, Name: string(order.Service)})
	if !fault.Is(err, fault.NotFound) {
		return
	}
	read := core.RolloutRead{Order: order, Phase: canary.Back, Reason: "the order was withdrawn"}
	stored, err := nd.storeProgress(ctx, read)
	if err != nil {
		nd.rolloutFailed(read, err)
		return
	}
	nd.loop.post(stored)
}

func (nd *Node) rolloutStatus() []canary.Status {
	var statuses []canary.Status
	nd.loop.read(func(state *core.State) { statuses = state.Rollouts() })
	return statuses
}
