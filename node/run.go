package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/oklog/run"

	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/proxy"
	"sequoiamill.example/sequoiamill/trace"
)

// Run serves until ctx ends or until a process of the same instance that started
// later supersedes this one. It then stops the node gracefully and returns. If a
// listener fails, Run returns an error without a graceful stop.
func (nd *Node) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	nd.runCtx = runCtx
	nd.recordEvent(trace.Event{Kind: trace.NodeStarted, Subject: nd.settings.Instance})
	var group run.Group
	server := newCallerServer(proxy.NewSmugglingGuard(nd.wrapTLS(nd.callerListener, Callers)), callerSettings{
		handler: nd.answering.track(nd.entry), ahead: nd.mayRepeat, leaving: nd.stopping.Load, count: nd.metrics.count, onPanic: nd.logPanic,
		onRefused: nd.recordShortage, onLate: nd.onBodyLate, maxConns: maxCallerConns(),
	})
	nd.callerServer.Store(server)
	group.Add(server.serve, func(error) { server.close(nd.closeContext()) })
	nd.addServer(&group, nd.wrapTLS(nd.peerListener, Peers), nd.closeConnsWhenStopping(nd.answering.track(nd.peerHandler())))
	nd.addServer(&group, nd.wrapTLS(nd.adminListener, Operators), nd.adminHandler())
	for _, extra := range nd.extraServers {
		nd.addServer(&group, extra.listener, extra.handler(nd))
	}
	addTask(runCtx, &group, nd.tick)
	addTask(runCtx, &group, nd.join)
	addTask(runCtx, &group, nd.readOrders)
	addTask(runCtx, &group, nd.reloadCerts)
	// Once the node has stopped, nothing that waits for the platform may hold its end up.
	group.Add(func() error { return nd.awaitStop(ctx, runCtx) }, func(error) { cancel() })
	err := group.Run()
	detail := "gracefully"
	if err != nil {
		detail = err.Error()
	}
	nd.recordEvent(trace.Event{Kind: trace.NodeStopped, Subject: nd.settings.Instance, Detail: detail})
	return err
}

// recordShortage records that no connection of a caller could be accepted.
func (nd *Node) recordShortage(err error) {
	nd.recordEvent(trace.Event{Kind: trace.CallersWait, Subject: nd.settings.Instance, Detail: err.Error()})
}

func addTask(runCtx context.Context, group *run.Group, task func(context.Context) error) {
	ctx, cancel := context.WithCancel(runCtx)
	group.Add(func() error { return task(ctx) }, func(error) { cancel() })
}

func (nd *Node) addServer(group *run.Group, listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	group.Add(
		func() error { return server.Serve(listener) },
		func(error) {
			if server.Shutdown(nd.closeContext()) != nil {
				_ = server.Close()
			}
		})
}

// closeContext returns the context for closing all listeners. It ends
// closeTimeout after the first call.
func (nd *Node) closeContext() context.Context {
	nd.closeOnce.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		nd.closeCtx = ctx
		context.AfterFunc(ctx, cancel)
	})
	return nd.closeCtx
}

func (nd *Node) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			nd.loop.post(core.Tick{})
		}
	}
}

// closeConnsWhenStopping wraps a handler. While the node stops, each response
// asks the client to close its connection, so that no request is sent on a
// connection that is about to close.
func (nd *Node) closeConnsWhenStopping(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if nd.stopping.Load() {
			writer.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(writer, request)
	})
}

// awaitStop waits until stopCtx ends or the node is superseded. It then starts
// the graceful stop and returns when the node has drained and left the fleet, or
// after Settings.StopLimit. If runCtx ends first, awaitStop returns immediately.
func (nd *Node) awaitStop(stopCtx, runCtx context.Context) error {
	select {
	case <-stopCtx.Done():
	case <-nd.superseded.Done():
	case <-runCtx.Done():
		return nil
	}
	nd.stopping.Store(true)
	nd.loop.post(core.StopRequested{})
	ctx, cancel := context.WithTimeout(runCtx, nd.settings.StopLimit)
	defer cancel()
	select {
	case <-nd.drained:
		nd.leave(ctx)
		nd.answering.awaitPending(ctx)
	case <-ctx.Done():
		_ = nd.logger.Log("event", "stop-limit-reached")
	}
	return nil
}

func (nd *Node) logPanic(value any) {
	_ = nd.logger.Log("event", "handler-panic", "value", fmt.Sprint(value), "stack", string(debug.Stack()))
}

// mayRepeat reports whether a caller's request is on a route whose requests may run more
// than once.
func (nd *Node) mayRepeat(request *http.Request) bool {
	table := nd.routes.Load()
	if table == nil {
		return false
	}
	matched, ok := table.Match(proxy.TargetOf(request))
	return ok && matched.Idempotent
}
