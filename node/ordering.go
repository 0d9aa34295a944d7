package node

import (
	"context"
	"encoding/json"

	"sequoiamill.example/sequoiamill/canary"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/plat"
	"sequoiamill.example/sequoiamill/types"
)

// startRollout stores an operator's order. An order whose roll-out runs is not replaced.
func (nd *Node) startRollout(ctx context.Context, order canary.Order) error {
	if err := nd.ownOrders(); err != nil {
		return err
	}
	stored := StoredOrder{Service: order.Service, To: order.To, Duration: order.Deadline.Sub(order.Start)}
	if err := stored.validate(); err != nil {
		return err
	}
	name := plat.Name{Kind: OrderKind, Name: string(order.Service)}
	object, err := nd.store.Get(ctx, name)
	if err != nil && !fault.Is(err, fault.NotFound) {
		return err
	}
	for _, known := range nd.rolloutStatus() {
		if err == nil && known.Order.ID == orderID(object) && !known.Phase.Final() {
			return fault.New(fault.VersionConflict, "the service %q is moved to version %s; abort that first", order.Service, known.Order.To)
		}
	}
	object.Name = name
	body, err := json.Marshal(orderWire{Version: string(order.To), DurationMillis: stored.Duration.Milliseconds(), OrderedMillis: order.Start.UnixMilli()})
	if err != nil {
		return err
	}
	_, err = nd.store.Put(ctx, object.WithBody(body))
	return err
}

// abortRollout withdraws an operator's order.
func (nd *Node) abortRollout(ctx context.Context, service types.ServiceName) error {
	if err := nd.ownOrders(); err != nil {
		return err
	}
	object, err := nd.store.Get(ctx, plat.Name{Kind: OrderKind, Name: string(service)})
	if err != nil {
		return err
	}
	return nd.store.Delete(ctx, object)
}

// ownOrders returns an error unless orders have the product's own form here.
func (nd *Node) ownOrders() error {
	orders, ok := nd.rollouts.orders.Get()
	switch {
	case !ok:
		return fault.New(fault.InvalidInput, "the node's settings allow no roll-outs")
	case !orders.Own:
		return fault.New(fault.InvalidInput, "roll-outs are ordered in the platform's store here")
	default:
		return nil
	}
}
