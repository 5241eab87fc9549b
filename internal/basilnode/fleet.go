package basilnode

import (
	"context"

	"basilstage.example/basilstage/internal/basilshard"
)

type fleet struct {
	cancel context.CancelFunc
	ctx    context.Context
}

func newFleet(n *Node, _ basilshard.OwnerRow) *fleet {
	ctx, cancel := context.WithCancel(n.ctx)
	return &fleet{ctx: ctx, cancel: cancel}
}
func (f *fleet) run()  {}
func (f *fleet) poke() {}
