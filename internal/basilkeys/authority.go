package basilkeys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"

	"github.com/pkg/errors"
)

// Life of trial certificates, and how far they reach back for hosts whose clocks are late.
const (
	certificateLife = 365 * 24 * time.Hour
	clockTolerance  = time.Hour
)

const serialBits = 128

// Types of PEM blocks.
const (
	certificateBlock = "CERTIFICATE"
	keyBlock         = "PRIVATE KEY"
)

// Pair is a certificate and its private key, both in PEM.
type Pair struct {
	certificate []byte
	key         []byte
}

// Certificate returns the certificate in PEM.
func (p Pair) Certificate() []byte { return p.certificate }

// Key returns the private key in PEM.
func (p Pair) Key() []byte { return p.key }

// Authority is a certificate authority for trials, kept in memory.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

// NewAuthority makes a new authority.
func NewAuthority() (*Authority, error) {
	template, err := newTemplate("basilstage trial authority")
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &Authority{certificate: certificate, key: key, pem: encode(certificateBlock, der)}, nil
}

// Certificate returns the authority's own certificate in PEM.
func (a *Authority) Certificate() []byte { return a.pem }

// Issue makes a certificate that names the member and its IP numbers.
func (a *Authority) Issue(member string, addresses ...net.IP) (Pair, error) {
	template, err := newTemplate(member)
	if err != nil {
		return Pair{}, err
	}
	template.IPAddresses = addresses
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, errors.WithStack(err)
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return Pair{}, errors.WithStack(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, errors.WithStack(err)
	}
	return Pair{certificate: encode(certificateBlock, der), key: encode(keyBlock, private)}, nil
}

// TLS issues a certificate and returns the mutual TLS configuration for it, without files.
func (a *Authority) TLS(member string, addresses ...net.IP) (*tls.Config, error) {
	p, err := a.Issue(member, addresses...)
	if err != nil {
		return nil, err
	}
	m, err := parseMaterial(a.pem, p.certificate, p.key)
	if err != nil {
		return nil, err
	}
	return mutualTLS(func() *material { return m }), nil
}

func newTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockTolerance),
		NotAfter:     now.Add(certificateLife),
	}, nil
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
