// Package certs loads the certificate, private key and certificate authority (CA)
// of a process and builds mutual TLS configurations from them. All three can be
// reloaded while the process runs.
//
// # Usage
//
//	reloader, err := certs.NewReloader(certs.FileLoader("node.pem", "node.key", "authority.pem"))
//	listener = tls.NewListener(listener, reloader.ServerConfig(tls.RequireAndVerifyClientCert, certs.NodeName))
//	transport.DialContext = reloader.DialFunc(certs.NodeName)
//	changed, err := reloader.Reload()
package certs

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

// The DNS names that a certificate holds to state the role of its owner.
const (
	NodeName     = "node.sequoiamill"
	OperatorName = "operator.sequoiamill"
)

// Material is a certificate chain, its private key and the CA certificates against
// which the certificates of peers are verified, all in PEM.
type Material struct {
	Cert    []byte
	Key     []byte
	CACerts []byte
}

func (m Material) equal(other Material) bool {
	return bytes.Equal(m.Cert, other.Cert) && bytes.Equal(m.Key, other.Key) && bytes.Equal(m.CACerts, other.CACerts)
}

// FileLoader returns a function that loads the material from files.
func FileLoader(cert, key, caCerts string) func() (Material, error) {
	return func() (Material, error) {
		var material Material
		var err error
		if material.Cert, err = os.ReadFile(cert); err != nil {
			return Material{}, errors.WithMessage(err, "read certificate")
		}
		if material.Key, err = os.ReadFile(key); err != nil {
			return Material{}, errors.WithMessage(err, "read key")
		}
		if material.CACerts, err = os.ReadFile(caCerts); err != nil {
			return Material{}, errors.WithMessage(err, "read authority")
		}
		return material, nil
	}
}

// PEMLoader returns a function that always loads the given material.
func PEMLoader(material Material) func() (Material, error) {
	return func() (Material, error) { return material, nil }
}

// Reloader holds the material that is in use and reloads it on request. It is safe
// for concurrent use.
type Reloader struct {
	load    func() (Material, error)
	current atomic.Pointer[parsed]
}

// parsed is loaded material with its parsed certificates.
type parsed struct {
	material Material
	cert     tls.Certificate
	caPool   *x509.CertPool
}

// NewReloader returns a Reloader that holds the material that load returns. It
// returns an error if the material can't be loaded or is not usable.
func NewReloader(load func() (Material, error)) (*Reloader, error) {
	rl := &Reloader{load: load}
	if _, err := rl.Reload(); err != nil {
		return nil, err
	}
	return rl, nil
}

// Reload loads the material again and reports whether it changed. If the new
// material can't be loaded or is not usable, Reload returns an error and the old
// material stays in use. Open connections are not affected by a reload.
func (rl *Reloader) Reload() (bool, error) {
	material, err := rl.load()
	if err != nil {
		return false, err
	}
	if old := rl.current.Load(); old != nil && old.material.equal(material) {
		return false, nil
	}
	next := &parsed{material: material, caPool: x509.NewCertPool()}
	if next.cert, err = tls.X509KeyPair(material.Cert, material.Key); err != nil {
		return false, errors.WithMessage(err, "pair certificate and key")
	}
	if !next.caPool.AppendCertsFromPEM(material.CACerts) {
		return false, errors.New("the authority holds no certificate")
	}
	rl.current.Store(next)
	return true, nil
}
