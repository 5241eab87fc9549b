package basilkeys

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"

	"github.com/pkg/errors"
)

// material is what one set of files holds, parsed.
type material struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// fileSet reads its files at each handshake and parses them when they changed.
type fileSet struct {
	ca, certificate, key string

	mu       sync.Mutex
	contents [3][]byte
	last     *material
}

// current returns the newest material that could be parsed.
func (f *fileSet) current() *material {
	m, err := f.load()
	if err != nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.last
	}
	return m
}

func (f *fileSet) load() (*material, error) {
	contents, err := f.read()
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.last != nil && sameContents(contents, f.contents) {
		return f.last, nil
	}
	m, err := parseMaterial(contents[0], contents[1], contents[2])
	if err != nil {
		return nil, errors.WithStack(ErrKeysInvalid{File: f.certificate, Cause: err})
	}
	f.contents, f.last = contents, m
	return m, nil
}

func (f *fileSet) read() ([3][]byte, error) {
	var contents [3][]byte
	for i, name := range []string{f.ca, f.certificate, f.key} {
		if name == "" {
			continue
		}
		b, err := os.ReadFile(name)
		if err != nil {
			return contents, errors.WithStack(ErrKeysInvalid{File: name, Cause: err})
		}
		contents[i] = b
	}
	return contents, nil
}

func sameContents(a, b [3][]byte) bool {
	for i := range a {
		if !bytes.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}

func parseMaterial(ca, certificate, key []byte) (*material, error) {
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	m := &material{certificate: pair, authorities: x509.NewCertPool()}
	if len(ca) > 0 && !m.authorities.AppendCertsFromPEM(ca) {
		return nil, errors.WithStack(ErrAuthorityMissing{})
	}
	return m, nil
}
