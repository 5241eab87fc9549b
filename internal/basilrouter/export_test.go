package basilrouter

// SetRandom replaces the source of the choices, for tests that have to repeat.
func (r *Router) SetRandom(random func() uint32) { r.policy.random = random }

// NewTransportWithDial is NewTransport on other connections.
var NewTransportWithDial = newTransport
