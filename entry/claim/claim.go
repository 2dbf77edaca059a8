// Package claim makes this entry the owner of something, by a claim in the
// platform's store, and lets the owner write under its claim. A newer claim shuts
// the older owner out of the store; no clock decides.
package claim

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/fleet/port"
)

const (
	// callTimeout bounds one call to the store.
	callTimeout = 900 * time.Millisecond
	// topics is the number of topics that owned things are spread over; the
	// platform allows 100 in all.
	topics = 32
	// tries is how often a claim is tried when others write claims meanwhile.
	tries = 6
)

// owners holds the newest claim of each owned thing.
var owners = port.Stream{Topic: "keyed.owners"}

// ErrLost says that another entry has claimed at the same time, or later.
var ErrLost = errors.New("claimed by another entry")

// Record is a claim as it is stored.
type Record struct {
	Entry string `cbor:"1,keyasint"`
	// Incarnation tells the entry's processes apart.
	Incarnation int64 `cbor:"2,keyasint"`
	Epoch       int64 `cbor:"3,keyasint"`
}

// Claim is a claim that was won.
type Claim struct {
	// Name is what is owned.
	Name string
	// Epoch is higher than that of every earlier claim on the name.
	Epoch int64
	// ConfirmedAt is when the call was sent that confirmed the claim.
	ConfirmedAt time.Time

	log    port.Log
	stream port.Stream
	// sequence is that of the last append that was answered.
	sequence int64
}

// StateStream is where the owner of a name keeps its state.
func StateStream(name string, parts int) port.Stream {
	h := xxhash.Sum64String(name)
	return port.Stream{
		Topic: fmt.Sprintf("keyed.work-%02d", h/uint64(parts)%topics),
		Part:  int(h % uint64(parts)),
	}
}

// Acquire claims a name. The entry and life tell who claims.
func Acquire(ctx context.Context, log port.Log, name, entry string, life int64, parts int) (*Claim, error) {
	var err error
	for range tries {
		var epoch int64
		if epoch, err = write(ctx, log, name, entry, life); err != nil {
			var moved *port.EndMismatchError
			if errors.As(err, &moved) {
				continue
			}
			return nil, err
		}
		c := &Claim{Name: name, Epoch: epoch, log: log, stream: StateStream(name, parts)}
		return c, c.begin(ctx)
	}
	return nil, fault.At("claim", name, err)
}

// write appends the claim, on the condition that no other claim came between.
func write(ctx context.Context, log port.Log, name, entry string, life int64) (int64, error) {
	newest, end, err := find(ctx, log, name)
	if err != nil {
		return 0, fault.At("claim", name, err)
	}
	mine := Record{Entry: entry, Incarnation: life, Epoch: newest.Epoch + 1}
	value, err := codec.EncodeFrame(mine)
	if err != nil {
		return 0, fault.At("claim", name, err)
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err = log.Append(call, owners, []port.Record{{Key: name, Value: value}}, nil, end); err == nil {
		return mine.Epoch, nil
	}
	var moved *port.EndMismatchError
	if errors.As(err, &moved) {
		return 0, err
	}
	// The claim may have been written without an answer.
	newest, _, again := find(ctx, log, name)
	if again != nil {
		return 0, fault.At("claim", name, errors.Join(err, again))
	}
	if newest == mine {
		return mine.Epoch, nil
	}
	return 0, fault.At("claim", name, err)
}

// find returns the newest claim on a name and the end of the claims.
func find(ctx context.Context, log port.Log, name string) (Record, int64, error) {
	var out Record
	first, after := int64(-1), ""
	for {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		page, err := log.Newest(call, owners, after)
		cancel()
		if err != nil {
			return out, 0, err
		}
		if first < 0 {
			first = page.End
		}
		for _, e := range page.Records {
			if e.Key == name && e.Value != nil {
				if out, err = codec.DecodeFrame[Record](e.Value); err != nil {
					return out, 0, err
				}
			}
			after = e.Key
		}
		if !page.More || len(page.Records) == 0 {
			return out, first, nil
		}
	}
}

// begin shuts earlier owners out of the stream.
func (c *Claim) begin(ctx context.Context) error {
	for {
		sent := time.Now()
		err := c.call(ctx, nil, 0)
		switch {
		case err == nil:
			c.ConfirmedAt = sent
			return nil
		case errors.Is(err, port.ErrFenced):
			return fault.At("claim", c.Name, ErrLost)
		case ctx.Err() != nil:
			return fault.At("claim", c.Name, err)
		}
		if !pause(ctx, retryPause) {
			return fault.At("claim", c.Name, err)
		}
	}
}

// retryPause is the time between tries of an append.
const retryPause = 100 * time.Millisecond

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (c *Claim) call(ctx context.Context, entries []port.Record, sequence int64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.log.Append(ctx, c.stream, entries, &port.Writer{Name: c.Name, Epoch: c.Epoch, Sequence: sequence}, -1)
	return err
}

// Append writes entries under the claim, all or none, and tries again until the
// store has answered for certain. It returns when the first call was sent that may
// have been carried out, since the store repeats its answer to a call that was; or
// [ErrLost] when a newer owner has written. Only one append may run at a time, and
// none after one that was given up.
func (c *Claim) Append(ctx context.Context, entries []port.Record) (time.Time, error) {
	next := c.sequence + 1
	// first is when the first call was sent that may have been carried out.
	var first time.Time
	for {
		sent := time.Now()
		err := c.call(ctx, entries, next)
		if nothingDone := errors.Is(err, port.ErrBusy) || errors.Is(err, port.ErrFull); first.IsZero() && !nothingDone {
			first = sent
		}
		var sequence *port.SequenceError
		switch {
		case err == nil, errors.As(err, &sequence) && sequence.Expected == next+1:
			c.sequence = next
			return first, nil
		case errors.Is(err, port.ErrFenced), errors.As(err, &sequence):
			return first, fault.At("append", c.Name, ErrLost)
		}
		if !pause(ctx, retryPause) {
			return first, fault.At("append", c.Name, ctx.Err())
		}
	}
}

// Load reads all that earlier owners have kept, page by page.
func (c *Claim) Load(ctx context.Context, take func(port.Record)) error {
	return readNewest(ctx, c.log, c.stream, c.Name+"/", take)
}

// readNewest hands the newest value of each key with a prefix to take.
func readNewest(ctx context.Context, log port.Log, stream port.Stream, prefix string, take func(port.Record)) error {
	after := ""
	for {
		call, cancel := context.WithTimeout(ctx, loadTimeout)
		page, err := log.Newest(call, stream, after)
		cancel()
		if err != nil {
			if !pause(ctx, retryPause) {
				return fault.At("load", prefix, err)
			}
			continue
		}
		for _, e := range page.Records {
			after = e.Key
			if strings.HasPrefix(e.Key, prefix) && e.Value != nil {
				take(e)
			}
		}
		if !page.More || len(page.Records) == 0 {
			return nil
		}
	}
}

// loadTimeout bounds the reading of one page.
const loadTimeout = 3 * time.Second
