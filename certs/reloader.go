// Package certs loads the certificate, private key and certificate authority (CA)
// of a process and builds mutual TLS configurations from them. They can be
// reloaded while the process runs.
//
// # Usage
//
//	keeper, err := certs.NewKeeper(certs.FromFiles("node.pem", "node.key", "authority.pem"))
//	listener = tls.NewListener(listener, keeper.Server(tls.RequireAndVerifyClientCert, certs.NodeName))
//	transport.DialContext = keeper.Dial(certs.NodeName)
//	changed, err := keeper.Reload()
package certs

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

// The DNS names in a certificate that state the role of its owner.
const (
	NodeName     = "node.sequoiamill"
	OperatorName = "operator.sequoiamill"
)

// Material is a certificate chain, its private key and the CA certificates against
// which the certificates of peers are verified, all in PEM.
type Material struct {
	Cert      []byte
	Key       []byte
	Authority []byte
}

func (m Material) equal(other Material) bool {
	return bytes.Equal(m.Cert, other.Cert) && bytes.Equal(m.Key, other.Key) && bytes.Equal(m.Authority, other.Authority)
}

// FromFiles returns a function that loads the material from files.
func FromFiles(cert, key, authority string) func() (Material, error) {
	return func() (Material, error) {
		var material Material
		var err error
		if material.Cert, err = os.ReadFile(cert); err != nil {
			return Material{}, errors.WithMessage(err, "read certificate")
		}
		if material.Key, err = os.ReadFile(key); err != nil {
			return Material{}, errors.WithMessage(err, "read key")
		}
		if material.Authority, err = os.ReadFile(authority); err != nil {
			return Material{}, errors.WithMessage(err, "read authority")
		}
		return material, nil
	}
}

// FromPEM returns a function that always loads the given material.
func FromPEM(material Material) func() (Material, error) {
	return func() (Material, error) { return material, nil }
}

// Keeper holds the material that is in use and reloads it on request. It is safe
// for concurrent use.
type Keeper struct {
	load    func() (Material, error)
	current atomic.Pointer[parsed]
}

// parsed is loaded material with its parsed certificates.
type parsed struct {
	material  Material
	cert      tls.Certificate
	authority *x509.CertPool
}

// NewKeeper returns a Keeper after loading its material once.
func NewKeeper(load func() (Material, error)) (*Keeper, error) {
	kp := &Keeper{load: load}
	if _, err := kp.Reload(); err != nil {
		return nil, err
	}
	return kp, nil
}

// Reload loads the material again and reports whether it changed. If the new
// material is not usable, Reload returns an error and the old material stays in
// use.
func (kp *Keeper) Reload() (bool, error) {
	material, err := kp.load()
	if err != nil {
		return false, err
	}
	if old := kp.current.Load(); old != nil && old.material.equal(material) {
		return false, nil
	}
	next := &parsed{material: material, authority: x509.NewCertPool()}
	if next.cert, err = tls.X509KeyPair(material.Cert, material.Key); err != nil {
		return false, errors.WithMessage(err, "pair certificate and key")
	}
	if !next.authority.AppendCertsFromPEM(material.Authority) {
		return false, errors.New("the authority holds no certificate")
	}
	kp.current.Store(next)
	return true, nil
}
