package basilsettings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilkeys"
)

// checker looks for faults in a record and names the line of each.
type checker struct {
	name   string
	record *Record
	tree   *ast.File
}

func newChecker(name string, b []byte, r *Record) *checker {
	tree, err := parser.ParseBytes(b, 0)
	if err != nil {
		tree = nil
	}
	return &checker{name: name, record: r, tree: tree}
}

// content checks what can be told from the record alone.
func (c *checker) content() error {
	if err := c.fields(); err != nil {
		return err
	}
	if err := c.addresses(); err != nil {
		return err
	}
	if err := c.peers(); err != nil {
		return err
	}
	if err := c.platform(); err != nil {
		return err
	}
	return c.transport()
}

// fields checks each field by its tag.
func (c *checker) fields() error {
	err := validate.Struct(c.record)
	var faults validator.ValidationErrors
	if !errors.As(err, &faults) {
		return errors.WithStack(err)
	}
	f := faults[0]
	_, path, _ := strings.Cut(f.Namespace(), ".")
	r := ruleFor(f.Tag())
	return c.fault(path, fmt.Sprintf("%s: %s", path, r.detail(f)), r.hint)
}

// addresses checks that no two listeners of one protocol share an address.
func (c *checker) addresses() error {
	l := c.record.Listen
	seen := map[string]string{}
	for _, a := range []struct{ path, address string }{
		{"listen.http", l.HTTP},
		{"listen.operator", l.Operator},
		{"listen.metrics", l.Metrics},
	} {
		if other, found := seen[a.address]; found && a.address != "" {
			return c.fault(a.path, fmt.Sprintf("%s: address %s is that of %s too", a.path, a.address, other), "give each listener its own port")
		}
		seen[a.address] = a.path
	}
	return nil
}

// peers checks that ids and addresses of entry hosts are unique; the list may hold this entry host itself.
func (c *checker) peers() error {
	addresses := map[string]string{c.record.Listen.Peer: c.record.Member}
	ids := map[string]bool{}
	for i, p := range c.record.Peers {
		path := fmt.Sprintf("peers[%d]", i)
		if ids[p.ID] {
			return c.fault(path+".id", fmt.Sprintf("%s.id: %s is listed twice", path, p.ID), "list each entry host once")
		}
		ids[p.ID] = true
		if other, found := addresses[p.Address]; found && other != p.ID {
			return c.fault(path+".address", fmt.Sprintf("%s.address: %s is that of %s too", path, p.Address, other), "give each entry host its own address")
		}
		addresses[p.Address] = p.ID
		if p.ID == c.record.Member && p.Address != c.record.Listen.Peer {
			return c.fault(path+".address", fmt.Sprintf("%s.address: differs from listen.peer, but the id is this member's", path), "give each entry host its own id")
		}
	}
	return nil
}

// platform checks that keys and data leave the host only under TLS.
func (c *checker) platform() error {
	t := c.record.Platform.Table
	for _, e := range []struct{ path, endpoint string }{
		{"platform.table.endpoint", t.Endpoint},
		{"platform.hosts.endpoint", c.record.Platform.Hosts.Endpoint},
	} {
		if u := parsedEndpoint(e.endpoint); u.Scheme == "http" && !loopbackHost(u.Host) {
			return c.fault(e.path, e.path+": plain text is allowed on loopback only", "use https")
		}
	}
	if t.AccessKey != "" || t.SecretKey != "" {
		if !loopbackHost(parsedEndpoint(t.Endpoint).Host) {
			return c.fault("platform.table", "platform.table: keys written in the settings are allowed for a loopback endpoint only", "use access_key_file and secret_key_file")
		}
	}
	return nil
}

// transport checks how callers, operators and metrics are served.
func (c *checker) transport() error {
	if c.record.TLS.PlainText == (c.record.TLS.HTTP != nil) {
		return c.fault("tls", "tls: give either http files or plain_text: true", "name tls.http.certificate and tls.http.key")
	}
	l := c.record.Listen
	for _, a := range []struct {
		path, address string
		plain         bool
	}{
		{"listen.http", l.HTTP, c.record.TLS.PlainText},
		{"listen.operator", l.Operator, c.record.TLS.PlainText},
		{"listen.metrics", l.Metrics, c.record.TLS.PlainText},
	} {
		if a.plain && a.address != "" && !loopbackHost(a.address) {
			return c.fault(a.path, fmt.Sprintf("%s: plain text is allowed on loopback only, not on %s", a.path, a.address), "listen on 127.0.0.1 or set tls.http")
		}
	}
	return nil
}

// files checks that each file that the settings name can be read.
func (c *checker) files() error {
	for _, f := range c.namedFiles() {
		if f.name == "" {
			continue
		}
		if _, err := os.ReadFile(f.name); err != nil {
			return c.fault(f.path, fmt.Sprintf("%s: %v", f.path, err), "name a file that this user can read")
		}
	}
	return c.certificates()
}

// certificates checks that keys fit their certificates, and that the one for peers names this member.
func (c *checker) certificates() error {
	p := c.record.TLS.Peer
	member, err := basilkeys.CertificateMember(p.CA, p.Certificate, p.Key)
	if err != nil {
		return c.fault("tls.peer", fmt.Sprintf("tls.peer: %v", errors.Cause(err)), "give a certificate, its key and its authority in PEM")
	}
	if member != c.record.Member {
		return c.fault("tls.peer.certificate", fmt.Sprintf("tls.peer.certificate: names %s, not this member", member), "give the certificate whose common name is the member's id")
	}
	h := c.record.TLS.HTTP
	if h == nil {
		return nil
	}
	if _, err := basilkeys.LoadServerTLS(h.Certificate, h.Key); err != nil {
		return c.fault("tls.http", fmt.Sprintf("tls.http: %v", errors.Cause(err)), "give a certificate and its key in PEM")
	}
	return nil
}

type namedFile struct{ path, name string }

func (c *checker) namedFiles() []namedFile {
	r := c.record
	named := []namedFile{
		{"platform.table.access_key_file", r.Platform.Table.AccessKeyFile},
		{"platform.table.secret_key_file", r.Platform.Table.SecretKeyFile},
		{"tls.peer.ca", r.TLS.Peer.CA},
		{"tls.peer.certificate", r.TLS.Peer.Certificate},
		{"tls.peer.key", r.TLS.Peer.Key},
	}
	if h := r.TLS.HTTP; h != nil {
		named = append(named, namedFile{"tls.http.certificate", h.Certificate}, namedFile{"tls.http.key", h.Key})
	}
	return named
}

func (c *checker) fault(path, detail, hint string) error {
	return errors.WithStack(ErrSettingsInvalid{File: c.name, Line: c.line(path), Detail: detail, Hint: hint})
}

// line returns the line of the field, or of the nearest part above it that is written.
func (c *checker) line(path string) int {
	for path != "" && c.tree != nil {
		if n := c.node(path); n != nil {
			return n.GetToken().Position.Line
		}
		path = parentPath(path)
	}
	return 0
}

func (c *checker) node(path string) ast.Node {
	p, err := yaml.PathString("$." + path)
	if err != nil {
		return nil
	}
	n, err := p.FilterFile(c.tree)
	if err != nil || n == nil || n.GetToken() == nil {
		return nil
	}
	return n
}

func parentPath(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}

func parsedEndpoint(endpoint string) *url.URL {
	u, err := url.Parse(endpoint)
	if err != nil {
		return &url.URL{}
	}
	return u
}

// loopbackHost tells whether an IP or IP:port is on loopback.
func loopbackHost(hostport string) bool {
	if a, err := netip.ParseAddrPort(hostport); err == nil {
		return a.Addr().IsLoopback()
	}
	a, err := netip.ParseAddr(strings.Trim(hostport, "[]"))
	return err == nil && a.IsLoopback()
}
