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

// tableShare is the part of the platform's table budget that one entry host may use.
const tableShare = 0.25

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
		Table:   basilplatform.NewBreaker(t, basilplatform.BreakerOptions{Share: tableShare}),
		List:    basilfleet.NewHostList(s.HostsEndpoint(), c),
		Control: basilfleet.NewHostControl(s.HostsEndpoint(), c),
		Tasks:   basilfleet.NewTasks(c),
	}, nil
}
