// Package claim makes this entry the owner of a named thing, by a claim in the platform's
// store, and lets the owner write under that claim. The store fences off an owner as soon as a
// newer claim writes. Clocks play no part in this.
package claim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/fleet/port"
)

const (
	// callTimeout bounds one call to the store.
	callTimeout = 900 * time.Millisecond
	// stateTopics is the number of topics over which the state of owned things is spread. The
	// platform allows 100 topics in total.
	stateTopics = 32
	// maxAttempts is the maximum number of attempts to write a claim when others write claims
	// at the same time.
	maxAttempts = 6
)

// Stream holds the newest claim on each name, keyed by the name.
var Stream = port.Stream{Topic: "keyed.owners"}

// ErrLost means that another entry has claimed the name at the same time or later.
var ErrLost = errors.New("another entry has written a newer claim")

// StoredClaim is a claim as it is stored.
type StoredClaim struct {
	Entry string `cbor:"1,keyasint"`
	// Incarnation tells the processes of one entry apart.
	Incarnation int64 `cbor:"2,keyasint"`
	Epoch       int64 `cbor:"3,keyasint"`
}

// Decode decodes a record of [Stream].
func Decode(_ string, value []byte) (StoredClaim, error) {
	return codec.DecodeFrame[StoredClaim](value)
}

// Claim is an acquired claim.
type Claim struct {
	// Name is the claimed name.
	Name string
	// Epoch is higher than that of every earlier claim on the name.
	Epoch int64
	// ConfirmedAt is when the call was sent with which the store accepted the claim's epoch.
	ConfirmedAt time.Time

	log    port.Log
	stream port.Stream
	// lastSequence is the sequence number of the last append that was answered.
	lastSequence int64
}

// StateStream returns the stream in which the owner of a name stores its state.
func StateStream(name string, partitions int) port.Stream {
	h := xxhash.Sum64String(name)
	return port.Stream{
		Topic: fmt.Sprintf("keyed.work-%02d", h/uint64(partitions)%stateTopics),
		Part:  int(h % uint64(partitions)),
	}
}

// Acquire claims a name for a process, which the entry and its incarnation identify. It returns
// once earlier owners are fenced off.
func Acquire(ctx context.Context, log port.Log, name, entry string, incarnation int64, partitions int) (*Claim, error) {
	var err error
	for range maxAttempts {
		var epoch int64
		if epoch, err = writeClaim(ctx, log, name, entry, incarnation); err != nil {
			var mismatch *port.EndMismatchError
			if errors.As(err, &mismatch) {
				continue
			}
			return nil, err
		}
		c := &Claim{Name: name, Epoch: epoch, log: log, stream: StateStream(name, partitions)}
		return c, c.fenceEarlier(ctx)
	}
	return nil, fault.At("claim", name, err)
}

// writeClaim appends a claim on the condition that no other claim has been written since the
// newest claim was read. It returns the new epoch.
func writeClaim(ctx context.Context, log port.Log, name, entry string, incarnation int64) (int64, error) {
	newest, end, err := findNewest(ctx, log, name)
	if err != nil {
		return 0, fault.At("claim", name, err)
	}
	stored := StoredClaim{Entry: entry, Incarnation: incarnation, Epoch: newest.Epoch + 1}
	value, err := codec.EncodeFrame(stored)
	if err != nil {
		return 0, fault.At("claim", name, err)
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err = log.Append(callCtx, Stream, []port.Record{{Key: name, Value: value}}, nil, end); err == nil {
		return stored.Epoch, nil
	}
	var mismatch *port.EndMismatchError
	if errors.As(err, &mismatch) {
		return 0, err
	}
	// The append may have been carried out although it was not answered.
	newest, _, readErr := findNewest(ctx, log, name)
	if readErr != nil {
		return 0, fault.At("claim", name, errors.Join(err, readErr))
	}
	if newest == stored {
		return stored.Epoch, nil
	}
	return 0, fault.At("claim", name, err)
}

// findNewest returns the newest claim on a name and the end of the claim stream.
func findNewest(ctx context.Context, log port.Log, name string) (StoredClaim, int64, error) {
	var newest StoredClaim
	end, after := int64(-1), ""
	for {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		page, err := log.Newest(callCtx, Stream, after)
		cancel()
		if err != nil {
			return newest, 0, err
		}
		if end < 0 {
			end = page.End
		}
		for _, e := range page.Records {
			if e.Key == name && e.Value != nil {
				if newest, err = codec.DecodeFrame[StoredClaim](e.Value); err != nil {
					return newest, 0, err
				}
			}
			after = e.Key
		}
		if !page.More || len(page.Records) == 0 {
			return newest, end, nil
		}
	}
}

// fenceEarlier fences off earlier owners by an append without records under the new epoch. It
// tries again until the store answers or ctx ends.
func (c *Claim) fenceEarlier(ctx context.Context) error {
	for {
		sent := time.Now()
		err := c.appendOnce(ctx, nil, 0)
		switch {
		case err == nil:
			c.ConfirmedAt = sent
			return nil
		case errors.Is(err, port.ErrFenced):
			return fault.At("claim", c.Name, ErrLost)
		case ctx.Err() != nil:
			return fault.At("claim", c.Name, err)
		}
		if !sleep(ctx, retryBackoff) {
			return fault.At("claim", c.Name, err)
		}
	}
}

// retryBackoff is the time between two attempts of a call to the store.
const retryBackoff = 100 * time.Millisecond

// sleep waits for d. It reports false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// appendOnce makes one attempt to append records under the claim.
func (c *Claim) appendOnce(ctx context.Context, records []port.Record, sequence int64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.log.Append(ctx, c.stream, records, &port.Writer{Name: c.Name, Epoch: c.Epoch, Sequence: sequence}, -1)
	return err
}

// Append writes records under the claim, all or none of them, and tries again until the outcome
// is certain. It returns the time at which the first call that may have been carried out was
// sent. If that call was carried out, the store repeats its answer to later attempts, so an
// answer confirms the claim only as of that time. The error is [ErrLost] if a newer owner has
// written. Only one append may run at a time, and none may follow an append that was abandoned.
func (c *Claim) Append(ctx context.Context, records []port.Record) (time.Time, error) {
	next := c.lastSequence + 1
	// first is when the first call was sent that may have been carried out.
	var first time.Time
	for {
		sent := time.Now()
		err := c.appendOnce(ctx, records, next)
		if rejected := errors.Is(err, port.ErrBusy) || errors.Is(err, port.ErrFull); first.IsZero() && !rejected {
			first = sent
		}
		var sequenceErr *port.SequenceError
		switch {
		// A store that expects the sequence number after this one has the records already.
		case err == nil, errors.As(err, &sequenceErr) && sequenceErr.Expected == next+1:
			c.lastSequence = next
			return first, nil
		case errors.Is(err, port.ErrFenced), errors.As(err, &sequenceErr):
			return first, fault.At("append", c.Name, ErrLost)
		}
		if !sleep(ctx, retryBackoff) {
			return first, fault.At("append", c.Name, ctx.Err())
		}
	}
}
