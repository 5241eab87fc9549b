package basilkeys

import (
	"crypto/tls"
	"crypto/x509"
	"time"

	"github.com/pkg/errors"
)

// LoadTLS returns a configuration for both sides of mutual TLS between members.
//
// Each handshake uses the files as they are then; while they can't be used, the
// last ones that could stay in force. It fails with ErrKeysInvalid.
func LoadTLS(ca, certificate, key string) (*tls.Config, error) {
	f := &fileSet{ca: ca, certificate: certificate, key: key}
	if _, err := f.load(); err != nil {
		return nil, err
	}
	return mutualTLS(f.current), nil
}

// LoadServerTLS returns a configuration for a server whose callers show no
// certificate; changed files are taken up as by LoadTLS. It fails with ErrKeysInvalid.
func LoadServerTLS(certificate, key string) (*tls.Config, error) {
	f := &fileSet{certificate: certificate, key: key}
	if _, err := f.load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &f.current().certificate, nil
		},
	}, nil
}

// CertificateMember returns the member that a certificate names; it fails with ErrKeysInvalid.
func CertificateMember(ca, certificate, key string) (string, error) {
	f := &fileSet{ca: ca, certificate: certificate, key: key}
	m, err := f.load()
	if err != nil {
		return "", err
	}
	return m.certificate.Leaf.Subject.CommonName, nil
}

// MemberID returns the member that the other side's certificate names, or ErrIdentityMissing.
func MemberID(s tls.ConnectionState) (string, error) {
	if len(s.PeerCertificates) == 0 || s.PeerCertificates[0].Subject.CommonName == "" {
		return "", errors.WithStack(ErrIdentityMissing{})
	}
	return s.PeerCertificates[0].Subject.CommonName, nil
}

// mutualTLS verifies the other side in VerifyConnection in both roles, so that a
// changed authority counts at the next handshake. Members are known by the name
// in the certificate, which callers check with MemberID, not by address.
func mutualTLS(current func() *material) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true,
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &current().certificate, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &current().certificate, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			return verify(s, current().authorities)
		},
	}
}

func verify(s tls.ConnectionState, authorities *x509.CertPool) error {
	if _, err := MemberID(s); err != nil {
		return err
	}
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         authorities,
		Intermediates: intermediates,
		CurrentTime:   time.Now(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	return errors.WithStack(err)
}
