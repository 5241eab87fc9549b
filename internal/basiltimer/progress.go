package basiltimer

import "context"

type progressKey struct{}

// WithProgress returns a context of a call; f is called whenever a part of the call's answer has arrived.
func WithProgress(ctx context.Context, f func()) context.Context {
	return context.WithValue(ctx, progressKey{}, f)
}

// Progress records that a part of the answer to the context's call has arrived.
func Progress(ctx context.Context) {
	if f, ok := ctx.Value(progressKey{}).(func()); ok {
		f()
	}
}
