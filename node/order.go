package node

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoiamill.example/sequoiamill/canary"
	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/plat"
	"sequoiamill.example/sequoiamill/types"
)

// OrderKind is the kind of the objects in which operators order roll-outs, one for each
// service, in the product's own form. ProgressKind is the kind of the objects that hold how
// far roll-outs have come. The nodes write these, each time under the condition that the
// object has not changed, so that two nodes that both decide can't contradict each other.
const (
	OrderKind    plat.Kind = "rollouts"
	ProgressKind plat.Kind = "rolloutstates"
)

// longestOrder is the longest time that an order may give.
const longestOrder = 24 * time.Hour

// StoredOrder is an order as the platform's store holds it.
type StoredOrder struct {
	Service  types.ServiceName
	To       types.UpstreamVersion
	Duration time.Duration
	// State is what was answered to the order, or 0 if nothing was.
	State canary.State
}

// Orders is how orders are read from the store and answered.
type Orders struct {
	Kind plat.Kind
	// Read decodes an order. The error is of kind fault.InvalidInput.
	Read func(object plat.Object) (StoredOrder, error)
	// Answer returns the status of an order's object, or nil if orders are not answered in
	// their objects.
	Answer func(order StoredOrder) []byte
	// Own is true if operators order roll-outs through the nodes.
	Own bool
}

// orderWire is an order in the product's own form.
type orderWire struct {
	Version        string `json:"version"`
	DurationMillis int64  `json:"duration-millis"`
	// OrderedMillis tells an order from an earlier one with the same content.
	OrderedMillis int64 `json:"ordered-millis"`
}

// OwnOrders returns orders in the product's own form.
func OwnOrders() Orders {
	return Orders{Kind: OrderKind, Read: readOrder, Answer: func(StoredOrder) []byte { return nil }, Own: true}
}

func readOrder(object plat.Object) (StoredOrder, error) {
	var wire orderWire
	if err := json.Unmarshal(object.Body, &wire); err != nil {
		return StoredOrder{}, fault.Wrap(fault.InvalidInput, err, "decode the order of "+strconv.Quote(object.Name.Name))
	}
	return StoredOrder{
		Service: types.ServiceName(object.Name.Name), To: types.UpstreamVersion(wire.Version),
		Duration: time.Duration(wire.DurationMillis) * time.Millisecond,
	}, nil
}

func (o StoredOrder) validate() error {
	if o.Service == "" || o.To == "" || o.Duration <= 0 || o.Duration > longestOrder {
		return fault.New(fault.InvalidInput, "the order of %q names no version or no time up to %s", o.Service, longestOrder)
	}
	return nil
}

// orderID returns the ID of an order. The object's status is no part of it.
func orderID(object plat.Object) canary.OrderID {
	return canary.OrderID(xxhash.Sum64String(object.Created + "\x00" + string(object.Body)))
}

// WithRollouts lets operators order roll-outs, within a bound on the exposure of callers to
// an unproved version.
func WithRollouts(bound canary.Bound, orders Orders) Option {
	return func(nd *Node) {
		nd.rollouts = newRolloutReader(orders)
		nd.coreOptions = append(nd.coreOptions, core.WithRollouts(bound))
	}
}

// progressWire is how far a roll-out has come.
type progressWire struct {
	Order          string `json:"order"`
	Version        string `json:"version"`
	Phase          string `json:"phase"`
	Reason         string `json:"reason,omitempty"`
	StartMillis    int64  `json:"start-millis"`
	DeadlineMillis int64  `json:"deadline-millis"`
}

func progressToBody(order canary.Order, phase canary.Phase, reason string) ([]byte, error) {
	return json.Marshal(progressWire{
		Order: strconv.FormatUint(uint64(order.ID), 16), Version: string(order.To), Phase: phase.String(), Reason: reason,
		StartMillis: order.Sequence, DeadlineMillis: order.Deadline.UnixMilli(),
	})
}

// progressFrom decodes how far the roll-out of a service has come. The error is of kind
// fault.InvalidInput.
func progressFrom(object plat.Object) (core.RolloutRead, error) {
	var wire progressWire
	if err := json.Unmarshal(object.Body, &wire); err != nil {
		return core.RolloutRead{}, fault.Wrap(fault.InvalidInput, err, "decode the state of the roll-out")
	}
	id, err := strconv.ParseUint(wire.Order, 16, 64)
	phase, known := canary.ParsePhase(wire.Phase)
	if err != nil || !known {
		return core.RolloutRead{}, fault.New(fault.InvalidInput, "the state of the roll-out of %q is not valid", object.Name.Name)
	}
	order := canary.Order{
		ID: canary.OrderID(id), Service: types.ServiceName(object.Name.Name), To: types.UpstreamVersion(wire.Version),
		Sequence: wire.StartMillis, Start: time.UnixMilli(wire.StartMillis), Deadline: time.UnixMilli(wire.DeadlineMillis),
	}
	return core.RolloutRead{Order: order, Phase: phase, Reason: wire.Reason}, nil
}
