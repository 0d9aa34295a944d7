package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"sequoiamill.example/sequoiamill/certs"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/peer"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

// Side is who is at the other end of a listener.
type Side string

// The sides of a node.
const (
	Callers   Side = "callers"
	Peers     Side = "peers"
	Operators Side = "operators"
)

// reloadInterval is how often the certificate files are read again.
const reloadInterval = 5 * time.Second

// AllPlainText returns every side, for a node without TLS.
func AllPlainText() types.Set[Side] { return types.NewSet(Callers, Peers, Operators) }

func (s Settings) secureFaults() []string {
	var faults []string
	for _, side := range s.PlainText.Sorted() {
		if !AllPlainText().Has(side) {
			faults = append(faults, "plain-text "+string(side)+" is not callers, peers or operators")
		}
	}
	for _, side := range AllPlainText().Sorted() {
		if !s.PlainText.Has(side) && s.Certs == nil {
			faults = append(faults, "tls-cert, tls-key and tls-authority are missing and plain-text does not name "+string(side))
		}
	}
	return faults
}

// secure wraps a listener in mutual TLS unless its side is plain text. What
// scrapes and probes the operators' listener needs no certificate; the RPC
// handler asks for one itself.
func (nd *Node) secure(listener net.Listener, side Side) net.Listener {
	if nd.settings.PlainText.Has(side) {
		return listener
	}
	switch side {
	case Peers:
		return tls.NewListener(listener, nd.settings.Certs.Server(tls.RequireAndVerifyClientCert, certs.NodeName))
	case Operators:
		return tls.NewListener(listener, nd.settings.Certs.Server(tls.VerifyClientCertIfGiven))
	default:
		return tls.NewListener(listener, nd.settings.Certs.Server(tls.RequireAndVerifyClientCert))
	}
}

func (nd *Node) peerDialer() peer.Dialer {
	if nd.settings.PlainText.Has(Peers) {
		return (&net.Dialer{}).DialContext
	}
	return nd.settings.Certs.Dial(certs.NodeName)
}

// forOperators lets only operators' certificates through to a handler.
func (nd *Node) forOperators(next http.Handler) http.Handler {
	if nd.settings.PlainText.Has(Operators) {
		return next
	}
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if !certs.HasName(request.TLS, certs.OperatorName) {
			http.Error(writer, "an operator's certificate is required", http.StatusForbidden)
			return
		}
		next.ServeHTTP(writer, request)
	})
}

// fromInstance reports whether a request comes from the node's own instance.
func fromInstance(request *http.Request) bool {
	remote, _, err := net.SplitHostPort(request.RemoteAddr)
	if err != nil {
		return false
	}
	local, ok := request.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok {
		return false
	}
	own, _, err := net.SplitHostPort(local.String())
	ip := net.ParseIP(remote)
	return err == nil && ip != nil && (ip.IsLoopback() || ip.Equal(net.ParseIP(own)))
}

// reload reads the certificate files again from time to time.
func (nd *Node) reload(ctx context.Context) error {
	if nd.settings.Certs == nil {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	failed := ""
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			failed = nd.reloadOnce(failed)
		}
	}
}

// reloadOnce returns the failure, which is told once.
func (nd *Node) reloadOnce(failed string) string {
	changed, err := nd.settings.Certs.Reload()
	switch {
	case err != nil && err.Error() != failed:
		nd.event(trace.Event{Kind: trace.CertsRefused, Subject: nd.settings.Instance, Detail: fault.From(err).Message})
	case changed:
		nd.event(trace.Event{Kind: trace.CertsReloaded, Subject: nd.settings.Instance})
	}
	if err != nil {
		return err.Error()
	}
	return ""
}
