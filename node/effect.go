package node

import (
	"context"
	"sync"
	"time"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

const (
	// exchangeTimeout is the deadline of one membership exchange with a peer.
	exchangeTimeout = 500 * time.Millisecond
	// indirectProbeTimeout is the deadline of an indirect probe, in which this
	// node asks a third node to probe a peer. It covers the round trip to the
	// third node and the exchange between the third node and the peer.
	indirectProbeTimeout = 2 * exchangeTimeout
	// maxLogFields is the maximum number of keys and values in the log line of
	// an event.
	maxLogFields = 10
)

// runEffect carries out one effect. It must not block, so effects that wait for
// another node run in goroutines of their own.
func (nd *Node) runEffect(effect types.Effect) {
	if nd.entry.Apply(effect) || nd.owner.Apply(effect) || nd.runPlatformEffect(effect) || nd.runTradeEffect(effect) {
		return
	}
	switch ef := effect.(type) {
	case trace.Count:
		nd.metrics.count(ef.Counter)
	case trace.Event:
		nd.recordEvent(ef)
	case types.SetTimer:
		nd.setTimer(ef)
	case fleet.SendExchange:
		go nd.sendExchange(ef)
	case fleet.ReplyExchange:
		nd.waiters.deliver(ef.Token, ef.Message)
	case fleet.SendIndirectProbe:
		go nd.sendIndirectProbe(ef)
	case fleet.PullConfig:
		go nd.pullConfig(ef)
	case fleet.Superseded:
		nd.supersede()
	case conf.VersionAdopted:
		nd.pulls.cancelUpTo(ef.Snapshot.Version())
		table := route.NewTable(ef.Snapshot)
		nd.routes.Store(&table)
		nd.entry.SetTeams(ef.Snapshot.RequiresKeys())
		nd.applyLimits(ef.Snapshot.Limits())
	case core.UseUpstream:
		nd.owner.SetUpstream(ef.Process, ef.Address)
	case core.Drained:
		close(nd.drained)
	}
}

// runPlatformEffect carries out an effect that calls the platform. It reports whether
// it handles effects of this type.
func (nd *Node) runPlatformEffect(effect types.Effect) bool {
	switch ef := effect.(type) {
	case core.ReadRoot:
		nd.startRootRead(ef.Epoch)
	case core.PollRoot:
		go nd.pollRoot(ef.Reading)
	case core.HedgeRoot:
		go nd.hedgeRoot(ef)
	case core.AdvanceRollout:
		go nd.advanceRollout(ef)
	case core.RecordDeparture:
		go nd.writeDeparture(nd.runCtx, nd.departures.begin())
	case core.WatchPlatform:
		nd.watch.setWatching(nd, ef)
	default:
		return false
	}
	return true
}

// applyLimits applies the configuration's limits on callers' requests and
// connections.
func (nd *Node) applyLimits(limits conf.Limits) {
	nd.entry.SetMaxBody(limits.MaxBodyBytes)
	if server := nd.callerServer.Load(); server != nil {
		server.setLimits(limits)
	}
}

// recordEvent adds an event to the node's timeline and logs it.
func (nd *Node) recordEvent(event trace.Event) {
	entry := trace.Entry{Stamp: nd.clock.Now(nd.now()), Instance: nd.settings.Instance, Event: event}
	nd.ring.Add(entry)
	line := make([]any, 0, maxLogFields)
	line = append(line, "event", event.Kind)
	if event.Request != "" {
		line = append(line, "request", event.Request)
	}
	if event.Version != 0 {
		line = append(line, "version", event.Version)
	}
	if event.Subject != "" {
		line = append(line, "subject", event.Subject)
	}
	if event.Detail != "" {
		line = append(line, "detail", event.Detail)
	}
	_ = nd.logger.Log(line...)
}

func (nd *Node) setTimer(effect types.SetTimer) {
	time.AfterFunc(effect.At.Sub(nd.now()), func() { nd.loop.post(types.TimerFired{Timer: effect.Timer}) })
}

func (nd *Node) sendExchange(effect fleet.SendExchange) {
	ctx, cancel := context.WithTimeout(nd.runCtx, exchangeTimeout)
	defer cancel()
	nd.metrics.count(trace.ExchangesSent)
	answer, err := nd.peers.Exchange(ctx, effect.Address, effect.Message)
	if err != nil {
		nd.metrics.count(trace.ExchangesFailed)
		nd.loop.post(fleet.ExchangeFailed{Peer: effect.Peer, Address: effect.Address})
		return
	}
	nd.loop.post(fleet.ExchangeAnswered{Peer: effect.Peer, Address: effect.Address, Epoch: effect.Epoch, Message: answer})
}

// sendIndirectProbe asks a third node whether it can reach a peer, and posts the
// result. The failure detector uses this indirect probe when this node's own
// exchange with the peer has failed.
func (nd *Node) sendIndirectProbe(effect fleet.SendIndirectProbe) {
	ctx, cancel := context.WithTimeout(nd.runCtx, indirectProbeTimeout)
	defer cancel()
	reached, err := nd.peers.Probe(ctx, effect.ViaAddress, effect.Peer, effect.Address)
	nd.loop.post(fleet.IndirectProbeEnded{Peer: effect.Peer, Via: effect.Via, Reached: err == nil && reached})
}

// waiters holds one reply channel for each message of a peer that the state machine has
// not answered yet. Each message has a token, which is the key of its channel in pending.
type waiters[T any] struct {
	mu      sync.Mutex
	next    uint64
	pending map[uint64]chan T
}

func (wt *waiters[T]) add() (uint64, chan T) {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	if wt.pending == nil {
		wt.pending = map[uint64]chan T{}
	}
	wt.next++
	answer := make(chan T, 1)
	wt.pending[wt.next] = answer
	return wt.next, answer
}

func (wt *waiters[T]) deliver(token uint64, message T) {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	if answer, ok := wt.pending[token]; ok {
		answer <- message
		delete(wt.pending, token)
	}
}

// serveExchange answers a peer's membership message.
func (nd *Node) serveExchange(_ context.Context, message fleet.Message) (fleet.Message, error) {
	nd.metrics.count(trace.ExchangesServed)
	token, answer := nd.waiters.add()
	nd.loop.post(fleet.ExchangeReceived{Token: token, Message: message})
	select {
	// post has already run all effects of the message. Therefore the reply is
	// either in the channel now or will never be sent.
	case reply := <-answer:
		return reply, nil
	default:
		return fleet.Message{}, fault.New(fault.NotReady, "the node does not take part in the fleet")
	}
}

// serveProbe runs an indirect probe for a peer: it reports whether a node
// answers at the address and has the expected instance ID.
func (nd *Node) serveProbe(ctx context.Context, id types.InstanceID, address types.Address) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := nd.peers.Exchange(ctx, address, fleet.Message{From: nd.settings.Instance})
	return err == nil && answer.From == id
}
