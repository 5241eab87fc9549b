package basilfleet

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"basilstage.example/basilstage/internal/basilplatform"
)

// HostControl is a basilplatform.HostControl over HTTP.
type HostControl struct {
	caller   caller
	endpoint string
}

var _ basilplatform.HostControl = (*HostControl)(nil)

// NewHostControl returns the host control at the endpoint, a URL; a nil client is one of its own.
func NewHostControl(endpoint string, c *http.Client) *HostControl {
	return &HostControl{caller: newCaller(c), endpoint: endpoint}
}

func (h *HostControl) path(host, step string) string {
	return h.endpoint + PathHosts + "/" + url.PathEscape(host) + step
}

// Drained reports whether the host holds no more work; it fails with ErrUnavailable or ErrRefused.
func (h *HostControl) Drained(ctx context.Context, host string) (bool, error) {
	answer, err := query[DrainedAnswer](ctx, h.caller, "drained", h.path(host, PathDrained))
	return answer.Drained, err
}

// Reboot starts the reboot of a drained host, once per epoch.
//
// It fails with ErrUnavailable, ErrRefused or ErrOutcomeUnknown; after the last it may be repeated.
func (h *HostControl) Reboot(ctx context.Context, host string, epoch int64) error {
	_, err := command[EmptyAnswer](ctx, h.caller, "reboot", h.path(host, PathReboot), RebootRequest{Epoch: epoch})
	return err
}

// Rebooted reports whether the reboot for that epoch has ended; it fails with ErrUnavailable or ErrRefused.
func (h *HostControl) Rebooted(ctx context.Context, host string, epoch int64) (bool, error) {
	parameters := url.Values{ParameterEpoch: {strconv.FormatInt(epoch, 10)}}
	answer, err := query[RebootedAnswer](ctx, h.caller, "rebooted", h.path(host, PathRebooted)+"?"+parameters.Encode())
	return answer.Rebooted, err
}
