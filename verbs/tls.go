package verbs

import (
	"context"
	"net"
	"net/http"

	"sequoiamill.example/sequoiamill/certs"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/node"
	"sequoiamill.example/sequoiamill/types"
)

// tlsFlags are where a process finds its certificate, key and authority.
type tlsFlags struct {
	TLSCert         string   `help:"File of the certificate chain in PEM."`
	TLSKey          string   `help:"File of the key in PEM."`
	TLSAuthority    string   `help:"File of the trusted authorities in PEM."`
	TLSCertPEM      string   `help:"Certificate chain in PEM, instead of a file."`
	TLSKeyPEM       string   `help:"Key in PEM, instead of a file."`
	TLSAuthorityPEM string   `help:"Trusted authorities in PEM, instead of a file."`
	PlainText       []string `help:"Sides without TLS: callers, peers, operators."`
}

func (f tlsFlags) plainText() types.Set[node.ClientKind] {
	kinds := make([]node.ClientKind, 0, len(f.PlainText))
	for _, kind := range f.PlainText {
		kinds = append(kinds, node.ClientKind(kind))
	}
	return types.NewSet(kinds...)
}

// keeper returns the material of the flags, or nil if none is named.
func (f tlsFlags) keeper() (*certs.Keeper, error) {
	load := certs.FromFiles(f.TLSCert, f.TLSKey, f.TLSAuthority)
	switch {
	case f.TLSCertPEM != "":
		load = certs.FromPEM(certs.Material{Cert: []byte(f.TLSCertPEM), Key: []byte(f.TLSKeyPEM), Authority: []byte(f.TLSAuthorityPEM)})
	case f.TLSCert == "":
		return nil, nil
	}
	keeper, err := certs.NewKeeper(load)
	if err != nil {
		return nil, fault.Wrap(fault.InvalidInput, err, "tls")
	}
	return keeper, nil
}

// httpClient returns a client for the operators' listener of a node.
func (f tlsFlags) httpClient() *http.Client {
	if f.plainText().Has(node.Operators) {
		return http.DefaultClient
	}
	return &http.Client{Transport: &http.Transport{DialContext: f.dial}}
}

// dial opens a TLS connection or tells which settings it lacks.
func (f tlsFlags) dial(ctx context.Context, network, address string) (net.Conn, error) {
	keeper, err := f.keeper()
	if err != nil {
		return nil, err
	}
	if keeper == nil {
		return nil, fault.New(fault.InvalidInput, "tls-cert, tls-key and tls-authority are missing and plain-text does not name operators")
	}
	return keeper.Dial(certs.NodeName)(ctx, network, address)
}
