package script

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net/http"
	"os"
	"time"

	"sequoiamill.example/sequoiamill/certs"
)

// writeCerts creates a certificate authority, which signs the certificates of a
// node, an operator and a caller. It writes these four certificates and their
// keys to a directory.
func writeCerts() {
	dir := os.Args[1]
	authorityKey, authority := newCert(dir, "authority", nil, nil)
	newCert(dir, "node", authority, authorityKey, certs.NodeName)
	newCert(dir, "operator", authority, authorityKey, certs.OperatorName)
	newCert(dir, "caller", authority, authorityKey, "caller.example")
}

func newCert(dir, name string, authority *x509.Certificate, authorityKey *ecdsa.PrivateKey, names ...string) (*ecdsa.PrivateKey, *x509.Certificate) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	check(err)
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	check(err)
	cert := &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: name},
		DNSNames:              names,
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(24 * time.Hour),
		IsCA:                  authority == nil,
		BasicConstraintsValid: true,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if authority == nil {
		authority, authorityKey = cert, key
	}
	text, err := x509.CreateCertificate(rand.Reader, cert, authority, &key.PublicKey, authorityKey)
	check(err)
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	check(err)
	check(os.MkdirAll(dir, 0o700))
	check(os.WriteFile(dir+"/"+name+".pem", pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: text}), 0o600))
	check(os.WriteFile(dir+"/"+name+".key", pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: secret}), 0o600))
	return key, cert
}

func check(err error) {
	if err != nil {
		fail("%v", err)
	}
}

// getTLS fetches a URL and prints the status and the body. Its arguments are a
// directory written by writeCerts, a role and the URL. It authenticates with the
// certificate of the role: node, operator or caller. The client for the role none
// presents no certificate and does not verify that of the server. It sends no
// request, however, if the directory has no files none.pem and none.key, which
// writeCerts does not write: getTLS then fails when it reads them.
func getTLS() {
	dir, role, url := os.Args[1], os.Args[2], os.Args[3]
	certificates, err := certs.NewReloader(certs.FileLoader(dir+"/"+role+".pem", dir+"/"+role+".key", dir+"/authority.pem"))
	check(err)
	client := &http.Client{Transport: &http.Transport{DialContext: certificates.DialFunc(certs.NodeName)}}
	if role == "none" {
		client = &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	}
	response, err := client.Get(url)
	check(err)
	body, err := io.ReadAll(response.Body)
	check(err)
	fmt.Printf("%s\n%s\n", response.Status, body)
}
