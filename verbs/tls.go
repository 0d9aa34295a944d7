package verbs

import (
	"context"
	"net"
	"net/http"

	"sequoiamill.example/sequoiamill/certs"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/heads"
	"sequoiamill.example/sequoiamill/node"
	"sequoiamill.example/sequoiamill/types"
)

// tlsFlags holds the flags that name the TLS certificate, the key and the trusted
// authorities of a process.
type tlsFlags struct {
	TLSCert         string   `help:"File of the certificate chain in PEM."`
	TLSKey          string   `help:"File of the key in PEM."`
	TLSAuthority    string   `help:"File of the trusted authorities in PEM."`
	TLSCertPEM      string   `help:"Certificate chain in PEM, instead of a file."`
	TLSKeyPEM       string   `help:"Key in PEM, instead of a file."`
	TLSAuthorityPEM string   `help:"Trusted authorities in PEM, instead of a file."`
	PlainText       []string `help:"Kinds of clients that use no TLS: callers, peers, operators."`
}

func (f tlsFlags) plainText() types.Set[node.ClientKind] {
	kinds := make([]node.ClientKind, 0, len(f.PlainText))
	for _, kind := range f.PlainText {
		kinds = append(kinds, node.ClientKind(kind))
	}
	return types.NewSet(kinds...)
}

// loadCerts loads the certificates and the key from the files or the PEM texts in
// the flags. PEM texts take precedence. It returns nil if there is neither.
func (f tlsFlags) loadCerts() (*certs.Reloader, error) {
	load := certs.FileLoader(f.TLSCert, f.TLSKey, f.TLSAuthority)
	switch {
	case f.TLSCertPEM != "":
		load = certs.PEMLoader(certs.Material{Cert: []byte(f.TLSCertPEM), Key: []byte(f.TLSKeyPEM), CACerts: []byte(f.TLSAuthorityPEM)})
	case f.TLSCert == "":
		return nil, nil
	}
	certificates, err := certs.NewReloader(load)
	if err != nil {
		return nil, fault.Wrap(fault.InvalidInput, err, "tls")
	}
	return certificates, nil
}

// httpClient returns an HTTP client for the operators' listener of a node. The
// client uses TLS unless the flag --plain-text names operators.
func (f tlsFlags) httpClient() *http.Client {
	if f.plainText().Has(node.Operators) {
		return &http.Client{Transport: heads.NewTransport(http.DefaultTransport, heads.WithKnownEnd())}
	}
	return &http.Client{Transport: heads.NewTransport(&http.Transport{DialContext: f.dial}, heads.WithKnownEnd())}
}

// dial opens a TLS connection to a node. It returns an error if the flags contain no
// certificate.
func (f tlsFlags) dial(ctx context.Context, network, address string) (net.Conn, error) {
	certificates, err := f.loadCerts()
	if err != nil {
		return nil, err
	}
	if certificates == nil {
		return nil, fault.New(fault.InvalidInput, "tls-cert, tls-key and tls-authority are missing and plain-text does not name operators")
	}
	return certificates.DialFunc(certs.NodeName)(ctx, network, address)
}
