package basilrouter

// SetRandom replaces the random source of backend selection, for reproducible tests.
func (r *Router) SetRandom(random func() uint32) { r.policy.random = random }

// NewTransportWithDial is NewTransport with a custom dial function.
var NewTransportWithDial = newTransport
