package basilentry

import (
	"net/http"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilplatform/basildynamo"
	"basilstage.example/basilstage/internal/basilplatform/basilfleet"
	"basilstage.example/basilstage/internal/basilsettings"
)

// Ports are the platform's services that an entry host uses.
type Ports struct {
	Table   basilplatform.Table
	List    basilplatform.HostList
	Control basilplatform.HostControl
	Tasks   basilplatform.Tasks
}

// NewPorts returns adapters to the platform that the settings name; it fails with basilsettings.ErrSettingsInvalid.
func NewPorts(s basilsettings.Settings) (Ports, error) {
	access, secret, err := s.TableKeys()
	if err != nil {
		return Ports{}, err
	}
	t := basildynamo.New(basildynamo.Options{
		Endpoint: s.Table().Endpoint, Region: s.Table().Region, TableName: s.Table().Name,
		AccessKey: access, SecretKey: secret, Timeout: s.TableTimeout(),
	})
	c := &http.Client{Timeout: s.HostsTimeout()}
	return Ports{
		Table:   basilplatform.NewBreaker(t, basilplatform.BreakerOptions{Share: 1 / float64(len(s.Peers())+1)}),
		List:    basilfleet.NewHostList(s.HostsEndpoint(), c),
		Control: basilfleet.NewHostControl(s.HostsEndpoint(), c),
		Tasks:   basilfleet.NewTasks(c),
	}, nil
}
