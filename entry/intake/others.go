package intake

import (
	"context"

	"carawaymux.dev/entry/owner"
	"carawaymux.dev/entry/peers"
	"carawaymux.dev/fleet/port"
)

// OtherPools implements [owner.OtherPools]. It asks each question once.
type OtherPools struct{ *Intake }

// JobStatus implements [owner.OtherPools].
func (o OtherPools) JobStatus(ctx context.Context, pool string, q port.Queue, id string) (owner.Answer, bool) {
	return o.Ask(ctx, peers.Request{Pool: pool, Verb: peers.VerbJobStatus, Subject: id, Queue: q})
}

// Cancel implements [owner.OtherPools].
func (o OtherPools) Cancel(ctx context.Context, pool string, q port.Queue, id, tenant string) (owner.Answer, bool) {
	return o.Ask(ctx, peers.Request{Pool: pool, Verb: peers.VerbCancel, Subject: id, Queue: q, Tenant: tenant})
}

// Pending implements [owner.OtherPools].
func (o OtherPools) Pending(ctx context.Context, pool string, q port.Queue) (owner.Answer, bool) {
	return o.Ask(ctx, peers.Request{Pool: pool, Verb: peers.VerbPending, Queue: q})
}
