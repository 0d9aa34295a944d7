package node

import (
	"context"
	"sync"
	"time"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

const (
	exchangeTimeout = 500 * time.Millisecond
	indirectTimeout = 2 * exchangeTimeout
	pullTimeout     = 5 * time.Second
	// maxPulls bounds the pulls that are served at once.
	maxPulls = 4
	// maxLogFields is the number of names and values of a log line.
	maxLogFields = 10
)

// run carries out one effect without blocking.
func (nd *Node) run(effect types.Effect) {
	if nd.entry.Run(effect) || nd.owner.Run(effect) {
		return
	}
	switch ef := effect.(type) {
	case trace.Count:
		nd.meters.count(ef.Counter)
	case trace.Event:
		nd.event(ef)
	case types.SetTimer:
		nd.setTimer(ef)
	case fleet.SendExchange:
		go nd.exchange(ef)
	case fleet.ReplyExchange:
		nd.waiters.answer(ef.Token, ef.Message)
	case fleet.ProbeThrough:
		go nd.probeThrough(ef)
	case fleet.PullConfig:
		go nd.pull(ef)
	case fleet.Superseded:
		nd.supersede()
	case conf.Adopted:
		nd.limit(ef.Snapshot.Limits())
	case core.UseUpstream:
		nd.owner.SetUpstream(ef.Process, ef.Address)
	case core.ReadRoot:
		nd.rootAsked(ef.Epoch)
	case core.WatchPlatform:
		nd.watch.set(nd, ef.On)
	case core.Drained:
		close(nd.drained)
	}
}

// limit applies what a configuration allows callers.
func (nd *Node) limit(limits conf.Limits) {
	nd.entry.LimitBody(limits.BodyBytes)
	if callers := nd.callers.Load(); callers != nil {
		callers.setLimits(limits)
	}
}

// event keeps an event and logs it.
func (nd *Node) event(event trace.Event) {
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

func (nd *Node) exchange(effect fleet.SendExchange) {
	ctx, cancel := context.WithTimeout(nd.life, exchangeTimeout)
	defer cancel()
	nd.meters.count(trace.ExchangesSent)
	answer, err := nd.peers.Exchange(ctx, effect.Address, effect.Message)
	if err != nil {
		nd.meters.count(trace.ExchangesFailed)
		nd.loop.post(fleet.ExchangeFailed{Peer: effect.Peer, Address: effect.Address})
		return
	}
	nd.loop.post(fleet.ExchangeAnswered{Peer: effect.Peer, Address: effect.Address, Epoch: effect.Epoch, Message: answer})
}

// probeThrough asks a third node whether it reaches a peer.
func (nd *Node) probeThrough(effect fleet.ProbeThrough) {
	ctx, cancel := context.WithTimeout(nd.life, indirectTimeout)
	defer cancel()
	reached, err := nd.peers.Probe(ctx, effect.ViaAddress, effect.Peer, effect.Address)
	nd.loop.post(fleet.ProbeEnded{Peer: effect.Peer, Via: effect.Via, Reached: err == nil && reached})
}

// pull fetches a configuration from a peer.
func (nd *Node) pull(effect fleet.PullConfig) {
	defer nd.loop.post(fleet.PullEnded{Peer: effect.Peer, Version: effect.Version})
	if nd.version() >= effect.Version {
		return
	}
	ctx, cancel := context.WithTimeout(nd.life, pullTimeout)
	defer cancel()
	nd.meters.count(trace.ConfigPulls)
	bundle, err := nd.peers.Pull(ctx, effect.Address, nd.bundle())
	if err == nil {
		nd.offer(bundle, effect.Version)
	}
}

// waiters matches the reducer's answers to the peers that wait for them.
type waiters struct {
	mu   sync.Mutex
	next uint64
	open map[uint64]chan fleet.Message
}

func (wt *waiters) add() (uint64, chan fleet.Message) {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	if wt.open == nil {
		wt.open = map[uint64]chan fleet.Message{}
	}
	wt.next++
	answer := make(chan fleet.Message, 1)
	wt.open[wt.next] = answer
	return wt.next, answer
}

func (wt *waiters) answer(token uint64, message fleet.Message) {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	if answer, ok := wt.open[token]; ok {
		answer <- message
		delete(wt.open, token)
	}
}

// serveExchange answers a peer's membership message.
func (nd *Node) serveExchange(_ context.Context, message fleet.Message) (fleet.Message, error) {
	nd.meters.count(trace.ExchangesServed)
	token, answer := nd.waiters.add()
	nd.loop.post(fleet.ExchangeReceived{Token: token, Message: message})
	select {
	case reply := <-answer:
		return reply, nil
	default:
		return fleet.Message{}, fault.New(fault.NotReady, "the node does not take part in the fleet")
	}
}

// probe reports whether a third node answers, and is the one asked for.
func (nd *Node) probe(ctx context.Context, id types.InstanceID, address types.Address) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := nd.peers.Exchange(ctx, address, fleet.Message{From: nd.settings.Instance})
	return err == nil && answer.From == id
}

// version returns the version in force.
func (nd *Node) version() types.Version {
	var version types.Version
	nd.loop.read(func(state *core.State) { version = state.Conf().Current().Version() })
	return version
}

// servePull returns the configuration in force, or refuses if too many peers
// are being served.
func (nd *Node) servePull() (conf.Bundle, error) {
	select {
	case nd.pulls <- struct{}{}:
		defer func() { <-nd.pulls }()
	default:
		nd.meters.count(trace.PullsRefused)
		return conf.Bundle{}, fault.New(fault.Overloaded, "%d pulls are being served", maxPulls).WithRetryAfter(pullTimeout)
	}
	nd.meters.count(trace.PullsServed)
	return nd.bundle(), nil
}
