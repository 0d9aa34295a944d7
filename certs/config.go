package certs

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"time"

	"github.com/pkg/errors"
)

const (
	dialTimeout   = time.Second
	keepAliveTime = 5 * time.Second
)

// ServerConfig returns the TLS configuration of a listener. Each connection uses the
// material that is in use when the connection is opened. auth states whether a
// client must send a certificate and whether it is verified against the CA. A
// certificate that a client sends must hold one of the given names; if no names are
// given, any name is accepted.
func (rl *Reloader) ServerConfig(auth tls.ClientAuthType, names ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			active := rl.current.Load()
			return &tls.Config{
				MinVersion:       tls.VersionTLS13,
				Certificates:     []tls.Certificate{active.cert},
				ClientCAs:        active.caPool,
				ClientAuth:       auth,
				NextProtos:       []string{"http/1.1"},
				VerifyConnection: func(state tls.ConnectionState) error { return checkNames(state, names) },
			}, nil
		},
	}
}

// HasName reports whether the peer sent a certificate that was verified and holds
// one of the names. It returns false if state is nil, that is, without TLS.
func HasName(state *tls.ConnectionState, names ...string) bool {
	return state != nil && len(state.VerifiedChains) > 0 && holdsName(state.PeerCertificates[0], names)
}

// checkNames returns an error if the peer sent a certificate that holds none of
// the names. It accepts every certificate if there are no names.
func checkNames(state tls.ConnectionState, names []string) error {
	if len(names) == 0 || len(state.PeerCertificates) == 0 {
		return nil
	}
	if !holdsName(state.PeerCertificates[0], names) {
		return errors.Errorf("the certificate holds none of the names %v", names)
	}
	return nil
}

func holdsName(cert *x509.Certificate, names []string) bool {
	for _, name := range names {
		if cert.VerifyHostname(name) == nil {
			return true
		}
	}
	return false
}

// DialFunc returns a function that opens TLS connections to servers whose certificate
// holds the given name. Each connection uses the material that is in use when the
// connection is opened.
func (rl *Reloader) DialFunc(name string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		active := rl.current.Load()
		dialer := &tls.Dialer{
			NetDialer: &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveTime},
			Config: &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{active.cert},
				RootCAs:      active.caPool,
				ServerName:   name,
				NextProtos:   []string{"http/1.1"},
			},
		}
		return dialer.DialContext(ctx, network, address)
	}
}
