package basilkeys

import (
	"crypto/tls"
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

var loopback = net.IPv4(127, 0, 0, 1)

func makeDirectory(t *testing.T, members ...string) string {
	directory := filepath.Join(t.TempDir(), "keys")
	var all []Member
	for _, m := range members {
		all = append(all, Member{ID: m, Addresses: []net.IP{loopback}})
	}
	must.NoError(t, Make(directory, all))
	return directory
}

func load(directory, member string) (*tls.Config, error) {
	return LoadTLS(filepath.Join(directory, AuthorityFile), filepath.Join(directory, CertificateFile(member)), filepath.Join(directory, KeyFile(member)))
}

// pipe returns both ends of a connection on loopback.
func pipe(t *testing.T) (a, b net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	a, err = net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	b, err = l.Accept()
	must.NoError(t, err)
	return a, b
}

// handshake returns whom each side took the other for.
func handshake(t *testing.T, client, server *tls.Config) (clientSaw, serverSaw string, err error) {
	a, b := pipe(t)
	c, s := tls.Client(a, client), tls.Server(b, server)
	served := make(chan error, 1)
	go func() {
		served <- s.Handshake()
		b.Close()
	}()
	err = c.Handshake()
	a.Close()
	if failed := <-served; failed != nil || err != nil {
		return "", "", errors.Join(err, failed)
	}
	clientSaw, err = MemberID(c.ConnectionState())
	must.NoError(t, err)
	serverSaw, err = MemberID(s.ConnectionState())
	return clientSaw, serverSaw, err
}

func TestMake(t *testing.T) {
	directory := makeDirectory(t, "a", "b")
	for name, mode := range map[string]os.FileMode{"ca.pem": 0o644, "a.pem": 0o644, "a-key.pem": 0o600, "b-key.pem": 0o600} {
		info, err := os.Stat(filepath.Join(directory, name))
		must.NoError(t, err)
		must.Eq(t, mode, info.Mode().Perm(), must.Sprint(name))
	}
	must.True(t, IsErrKeysExist(Make(directory, nil)), must.Sprint("nothing is overwritten"))
	certificate, err := tls.LoadX509KeyPair(filepath.Join(directory, "a.pem"), filepath.Join(directory, "a-key.pem"))
	must.NoError(t, err)
	must.NoError(t, certificate.Leaf.VerifyHostname("127.0.0.1"))
	must.Error(t, certificate.Leaf.VerifyHostname("127.0.0.2"))
}

func TestMutualTLS(t *testing.T) {
	directory, stranger := makeDirectory(t, "a", "b"), makeDirectory(t, "a")
	a, err := load(directory, "a")
	must.NoError(t, err)
	b, err := load(directory, "b")
	must.NoError(t, err)
	clientSaw, serverSaw, err := handshake(t, a, b)
	must.NoError(t, err)
	must.Eq(t, "b", clientSaw)
	must.Eq(t, "a", serverSaw)
	other, err := load(stranger, "a")
	must.NoError(t, err)
	_, _, err = handshake(t, other, b)
	must.Error(t, err)
	_, _, err = handshake(t, a, other)
	must.Error(t, err)
}

// TestReload checks that changed files count at the next handshake, and broken ones never.
func TestReload(t *testing.T) {
	directory := makeDirectory(t, "a", "b")
	a, err := load(directory, "a")
	must.NoError(t, err)
	b, err := load(directory, "b")
	must.NoError(t, err)
	key := filepath.Join(directory, KeyFile("b"))
	must.NoError(t, os.WriteFile(key, []byte("half a k"), 0o600))
	_, _, err = handshake(t, a, b)
	must.NoError(t, err, must.Sprint("the last good files stay in force"))
	_, err = load(directory, "b")
	must.True(t, IsErrKeysInvalid(err))
	must.NoError(t, os.Remove(key))
	_, _, err = handshake(t, a, b)
	must.NoError(t, err)
	fresh := makeDirectory(t, "a", "b")
	for _, name := range []string{AuthorityFile, CertificateFile("b"), KeyFile("b")} {
		must.NoError(t, os.Rename(filepath.Join(fresh, name), filepath.Join(directory, name)))
	}
	_, _, err = handshake(t, a, b)
	must.Error(t, err, must.Sprint("a still has the old certificate"))
	for _, name := range []string{CertificateFile("a"), KeyFile("a")} {
		must.NoError(t, os.Rename(filepath.Join(fresh, name), filepath.Join(directory, name)))
	}
	_, _, err = handshake(t, a, b)
	must.NoError(t, err)
}

func TestLoadServerTLS(t *testing.T) {
	directory := makeDirectory(t, "a")
	server, err := LoadServerTLS(filepath.Join(directory, "a.pem"), filepath.Join(directory, "a-key.pem"))
	must.NoError(t, err)
	a, b := pipe(t)
	defer a.Close()
	go func() { _ = tls.Server(b, server).Handshake() }()
	must.NoError(t, tls.Client(a, &tls.Config{InsecureSkipVerify: true}).Handshake())
	_, err = LoadServerTLS(filepath.Join(directory, "none.pem"), filepath.Join(directory, "a-key.pem"))
	must.True(t, IsErrKeysInvalid(err))
}
