// Package place records in the platform's store which pools have accepted jobs of a queue. The owner of a
// pool registers the pool before it accepts the first job of a queue, and learns of the others by that.
package place

import (
	"context"
	"net/url"
	"slices"
	"strings"
	"time"

	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/fleet/port"
)

// Stream holds the places, keyed by queue and pool.
var Stream = port.Stream{Topic: "keyed.places"}

// callTimeout bounds one call to the store.
const callTimeout = 900 * time.Millisecond

// Place is a pool that may hold jobs of a queue.
type Place struct {
	Queue, Pool string
	// Version is that of the configuration by which the pool was registered.
	Version int64
}

// storedPlace is the value of a record; the key holds the queue and the pool.
type storedPlace struct {
	Version int64 `cbor:"1,keyasint,omitempty"`
}

func (p *Place) record() (port.Record, error) {
	value, err := codec.EncodeFrame(storedPlace{p.Version})
	return port.Record{Key: url.PathEscape(p.Queue) + "/" + url.PathEscape(p.Pool), Value: value}, err
}

// parse returns the place of a record. If the value cannot be read, its version counts as 0: the pool may
// still hold jobs.
func parse(e port.Record) (Place, bool) {
	queue, pool, ok := strings.Cut(e.Key, "/")
	if !ok || e.Value == nil {
		return Place{}, false
	}
	var p Place
	var queueErr, poolErr error
	p.Queue, queueErr = url.PathUnescape(queue)
	p.Pool, poolErr = url.PathUnescape(pool)
	if stored, err := codec.DecodeFrame[storedPlace](e.Value); err == nil {
		p.Version = stored.Version
	}
	return p, queueErr == nil && poolErr == nil
}

// Registry registers places in a log.
type Registry struct{ Log port.Log }

// Register registers places of one pool, and returns the places of the same queues in other pools. Of two pools
// that register for a queue at the same time, at least one learns of the other, since each writes before it reads.
func (r Registry) Register(ctx context.Context, places []Place) ([]Place, error) {
	var records []port.Record
	for _, p := range places {
		record, err := p.record()
		if err != nil {
			return nil, fault.At("register", p.Queue, err)
		}
		records = append(records, record)
	}
	appendCtx, cancel := context.WithTimeout(ctx, callTimeout)
	_, err := r.Log.Append(appendCtx, Stream, records, nil, -1)
	cancel()
	if err != nil {
		return nil, fault.At("register", places[0].Pool, err)
	}
	others, err := r.others(ctx, places)
	return others, fault.At("register", places[0].Pool, err)
}

// others reads the places of the same queues in other pools.
func (r Registry) others(ctx context.Context, places []Place) ([]Place, error) {
	var out []Place
	for after := ""; ; {
		pageCtx, cancel := context.WithTimeout(ctx, callTimeout)
		page, err := r.Log.Newest(pageCtx, Stream, after)
		cancel()
		if err != nil {
			return nil, err
		}
		for _, e := range page.Records {
			after = e.Key
			found, ok := parse(e)
			if ok && slices.ContainsFunc(places, func(p Place) bool { return p.Queue == found.Queue && p.Pool != found.Pool }) {
				out = append(out, found)
			}
		}
		if !page.More || len(page.Records) == 0 {
			return out, nil
		}
	}
}
