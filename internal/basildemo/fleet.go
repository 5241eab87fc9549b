package basildemo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilentry"
	"basilstage.example/basilstage/internal/basilkeys"
	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilplatform/basilfleet"
	"basilstage.example/basilstage/internal/basilsettings"
	"basilstage.example/basilstage/internal/basilstandin"
	"basilstage.example/basilstage/pkg/basilclient"
)

// Times of the stand-ins.
const (
	runTime     = 20 * time.Millisecond
	rebootTime  = time.Second
	callTimeout = 2 * time.Second
)

var dataCentres = []string{"fukuoka", "kumamoto"}

// fleet is the demonstration's platform, backend servers and entry hosts.
type fleet struct {
	platform  *basilstandin.Platform
	endpoint  string
	backends  map[string]*basilstandin.Backend
	addresses []string // of the entry hosts
	client    *basilclient.Client
	stopped   []chan error
	stop      context.CancelFunc
}

// hostPlan says what backend servers the demonstration has: racks of two hosts, pools across both data centres.
var hostPlan = []struct{ pool, rack string }{
	{"counter", "a"}, {"counter", "a"}, {"counter", "b"}, {"stretch", "b"}, {"stretch", "c"},
}

func newFleet(ctx context.Context, directory string) (*fleet, error) {
	f := &fleet{backends: make(map[string]*basilstandin.Backend)}
	f.platform = basilstandin.NewPlatform(basilstandin.PlatformOptions{RebootTime: rebootTime})
	endpoint, err := serve(f.platform.Handler())
	if err != nil {
		return nil, err
	}
	f.endpoint = endpoint
	for _, d := range dataCentres {
		if err := f.addHosts(d); err != nil {
			return nil, err
		}
	}
	ctx, f.stop = context.WithCancel(ctx)
	return f, f.startEntries(ctx, directory)
}

// serve serves the handler on a loopback address until the process ends.
func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.WithStack(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: callTimeout}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

func (f *fleet) addHosts(dataCentre string) error {
	for n, p := range hostPlan {
		id := fmt.Sprintf("%s-%d", dataCentre, n+1)
		b := basilstandin.NewBackend(basilstandin.BackendOptions{ID: id, RunTime: basilstandin.ConstantRunTime(runTime)})
		address, err := serve(b.Handler())
		if err != nil {
			return err
		}
		f.backends[id] = b
		f.platform.AddHost(basilplatform.ListedHost{
			ID: id, DataCentre: dataCentre, Rack: dataCentre + "-" + p.rack, Pool: p.pool, Address: address,
		})
	}
	return nil
}

func (f *fleet) startEntries(ctx context.Context, directory string) error {
	settings, err := f.writeSettings(directory)
	if err != nil {
		return err
	}
	for _, s := range settings {
		e, err := basilentry.New(basilentry.Options{Settings: s, Ports: f.ports(), Log: basillog.Discard()})
		if err != nil {
			return err
		}
		stopped := make(chan error, 1)
		go func() { stopped <- e.Run(ctx) }()
		f.stopped = append(f.stopped, stopped)
		f.addresses = append(f.addresses, "http://"+s.HTTPAddress())
	}
	f.client = basilclient.NewClient(basilclient.Options{Addresses: f.addresses})
	return nil
}

// ports reach the table in memory and the rest of the platform over HTTP.
func (f *fleet) ports() basilentry.Ports {
	c := &http.Client{Timeout: callTimeout}
	return basilentry.Ports{
		Table:   f.platform.Table(),
		List:    basilfleet.NewHostList("http://"+f.endpoint, c),
		Control: basilfleet.NewHostControl("http://"+f.endpoint, c),
		Tasks:   basilfleet.NewTasks(c),
	}
}

// writeSettings makes keys and settings for one entry host in each data centre.
func (f *fleet) writeSettings(directory string) ([]basilsettings.Settings, error) {
	members := make([]basilkeys.Member, len(dataCentres))
	http := make([]string, len(dataCentres))
	peer := make([]string, len(dataCentres))
	var peers strings.Builder
	for n, d := range dataCentres {
		members[n] = basilkeys.Member{ID: "entry-" + d, Addresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
		var err error
		if http[n], err = freeAddress("tcp"); err != nil {
			return nil, err
		}
		if peer[n], err = freeAddress("udp"); err != nil {
			return nil, err
		}
		fmt.Fprintf(&peers, "  - {id: entry-%s, data_centre: %s, address: %s}\n", d, d, peer[n])
	}
	keys := filepath.Join(directory, "keys")
	if err := basilkeys.Make(keys, members); err != nil {
		return nil, err
	}
	var all []basilsettings.Settings
	for n, d := range dataCentres {
		s, err := basilsettings.Parse("demo", []byte(fmt.Sprintf(settingsForm,
			d, d, http[n], peer[n], peers.String(), f.endpoint, f.endpoint,
			filepath.Join(keys, "ca.pem"), filepath.Join(keys, basilkeys.CertificateFile(members[n].ID)),
			filepath.Join(keys, basilkeys.KeyFile(members[n].ID)))))
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}

const settingsForm = `member: entry-%s
data_centre: %s
listen: {http: "%s", peer: "%s"}
peers:
%splatform:
  table: {endpoint: "http://%s", region: demo, table_name: demo, access_key: demo, secret_key: demo}
  hosts: {endpoint: "http://%s"}
tls:
  plain_text: true
  peer: {ca: "%s", certificate: "%s", key: "%s"}
`

// freeAddress returns a loopback address that nothing listens on now.
func freeAddress(network string) (string, error) {
	if network == "udp" {
		c, err := net.ListenPacket(network, "127.0.0.1:0")
		if err != nil {
			return "", errors.WithStack(err)
		}
		defer func() { _ = c.Close() }()
		return c.LocalAddr().String(), nil
	}
	l, err := net.Listen(network, "127.0.0.1:0")
	if err != nil {
		return "", errors.WithStack(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// end stops the entry hosts gracefully and removes the keys.
func (f *fleet) end(directory string) error {
	f.stop()
	var last error
	for _, s := range f.stopped {
		if err := <-s; err != nil {
			last = err
		}
	}
	_ = os.RemoveAll(directory)
	return last
}
