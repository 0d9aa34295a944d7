// Package certs keeps the certificate, key and authority of one process and
// makes mutual TLS settings of them. They may be replaced while it runs.
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

// The names that a certificate holds for the role of its process.
const (
	NodeName     = "node.sequoiamill"
	OperatorName = "operator.sequoiamill"
)

// Material is a certificate chain, its key and the authorities that others'
// certificates must come from, all in PEM.
type Material struct {
	Cert      []byte
	Key       []byte
	Authority []byte
}

func (m Material) equal(other Material) bool {
	return bytes.Equal(m.Cert, other.Cert) && bytes.Equal(m.Key, other.Key) && bytes.Equal(m.Authority, other.Authority)
}

// FromFiles returns a loader that reads files.
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

// FromPEM returns a loader of fixed material.
func FromPEM(material Material) func() (Material, error) {
	return func() (Material, error) { return material, nil }
}

// Keeper holds the material in use. It is safe for concurrent use.
type Keeper struct {
	load func() (Material, error)
	held atomic.Pointer[held]
}

type held struct {
	material  Material
	cert      tls.Certificate
	authority *x509.CertPool
}

// NewKeeper returns a keeper of loaded material.
func NewKeeper(load func() (Material, error)) (*Keeper, error) {
	kp := &Keeper{load: load}
	if _, err := kp.Reload(); err != nil {
		return nil, err
	}
	return kp, nil
}

// Reload loads the material again and reports whether it changed. Material
// that can't be used leaves the one before in place.
func (kp *Keeper) Reload() (bool, error) {
	material, err := kp.load()
	if err != nil {
		return false, err
	}
	if old := kp.held.Load(); old != nil && old.material.equal(material) {
		return false, nil
	}
	next := &held{material: material, authority: x509.NewCertPool()}
	if next.cert, err = tls.X509KeyPair(material.Cert, material.Key); err != nil {
		return false, errors.WithMessage(err, "pair certificate and key")
	}
	if !next.authority.AppendCertsFromPEM(material.Authority) {
		return false, errors.New("the authority holds no certificate")
	}
	kp.held.Store(next)
	return true, nil
}
