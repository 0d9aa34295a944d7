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

// ClientKind is a kind of client. The node has a separate listener for each kind.
type ClientKind string

// The kinds of clients that a node serves.
const (
	Callers   ClientKind = "callers"
	Peers     ClientKind = "peers"
	Operators ClientKind = "operators"
)

// reloadInterval is how often the certificate files are read again.
const reloadInterval = 5 * time.Second

// AllPlainText returns the set of all kinds of clients, for a node that uses no
// TLS.
func AllPlainText() types.Set[ClientKind] { return types.NewSet(Callers, Peers, Operators) }

func (s Settings) secureFaults() []string {
	var faults []string
	for _, kind := range s.PlainText.Sorted() {
		if !AllPlainText().Has(kind) {
			faults = append(faults, "plain-text "+string(kind)+" is not callers, peers or operators")
		}
	}
	for _, kind := range AllPlainText().Sorted() {
		if !s.PlainText.Has(kind) && s.Certs == nil {
			faults = append(faults, "tls-cert, tls-key and tls-authority are missing and plain-text does not name "+string(kind))
		}
	}
	return faults
}

// wrapTLS wraps the listener for a kind of client in mutual TLS, unless
// Settings.PlainText has that kind. The operators' listener also accepts clients
// without a certificate, because metrics scrapes and health probes have none; the
// handler of the operator RPCs checks for one itself.
func (nd *Node) wrapTLS(listener net.Listener, kind ClientKind) net.Listener {
	if nd.settings.PlainText.Has(kind) {
		return listener
	}
	switch kind {
	case Peers:
		return tls.NewListener(listener, nd.settings.Certs.ServerConfig(tls.RequireAndVerifyClientCert, certs.NodeName))
	case Operators:
		return tls.NewListener(listener, nd.settings.Certs.ServerConfig(tls.VerifyClientCertIfGiven))
	default:
		return tls.NewListener(listener, nd.settings.Certs.ServerConfig(tls.RequireAndVerifyClientCert))
	}
}

func (nd *Node) peerDialer() peer.Dialer {
	if nd.settings.PlainText.Has(Peers) {
		return (&net.Dialer{}).DialContext
	}
	return nd.settings.Certs.DialFunc(certs.NodeName)
}

// requireOperatorCert wraps a handler so that it receives only requests from
// clients with an operator's certificate, unless operators are served in plain
// text.
func (nd *Node) requireOperatorCert(next http.Handler) http.Handler {
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

// fromInstance reports whether a request was sent from the node's own instance:
// from a loopback address, or from the address at which the node received it.
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

// reloadCerts reads the certificate files again every reloadInterval.
func (nd *Node) reloadCerts(ctx context.Context) error {
	if nd.settings.Certs == nil {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	lastErr := ""
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			lastErr = nd.reloadCertsOnce(lastErr)
		}
	}
}

// reloadCertsOnce reads the certificate files again and returns the text of the
// error, if any. It records an error only if its text differs from lastErr, so
// that a lasting failure is recorded once.
func (nd *Node) reloadCertsOnce(lastErr string) string {
	changed, err := nd.settings.Certs.Reload()
	switch {
	case err != nil && err.Error() != lastErr:
		nd.recordEvent(trace.Event{Kind: trace.CertsRefused, Subject: nd.settings.Instance, Detail: fault.From(err).Message})
	case changed:
		nd.recordEvent(trace.Event{Kind: trace.CertsReloaded, Subject: nd.settings.Instance})
	}
	if err != nil {
		return err.Error()
	}
	return ""
}
