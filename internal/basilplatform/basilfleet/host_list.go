package basilfleet

import (
	"context"
	"net/http"

	"basilstage.example/basilstage/internal/basilplatform"
)

const operationList = "list hosts"

// HostList is a basilplatform.HostList over HTTP.
type HostList struct {
	caller   caller
	endpoint string
}

var _ basilplatform.HostList = (*HostList)(nil)

// NewHostList returns the host list at the endpoint, a URL; a nil client is one of its own.
func NewHostList(endpoint string, c *http.Client) *HostList {
	return &HostList{caller: newCaller(c), endpoint: endpoint}
}

// List returns the platform's list of live and leaving hosts; it fails with ErrUnavailable or ErrRefused.
func (l *HostList) List(ctx context.Context) ([]basilplatform.ListedHost, error) {
	answer, err := query[HostsAnswer](ctx, l.caller, operationList, l.endpoint+PathHosts)
	if err != nil {
		return nil, err
	}
	if answer.Hosts == nil {
		return nil, incomplete(operationList, "hosts")
	}
	return answer.Hosts, nil
}
