package owner

import (
	"errors"
	"maps"
	"slices"
	"time"

	"carawaymux.dev/fleet/port"
)

// grants are the hosts that the owner calls empty. The holder of the machines may order such a host's machine until the
// host's cordon ends, whoever owns the pool by then. So a host is called empty only once the store has a record of it,
// and the next owner cordons the hosts of which it finds one.
type grants struct {
	// until holds, for each host of which the store has a record or will have one, when its cordon ends.
	until map[string]time.Time
	// stored holds the hosts of which the store has a record. Each is in until.
	stored map[string]bool
	// added holds the hosts whose record is to be written, and ended those whose record is to be deleted. A host is in one
	// of them at most.
	added, ended []string
	// waiting holds the requests to empty a host that wait for its record.
	waiting map[string][]vacateHost
}

func newGrants() grants {
	return grants{until: map[string]time.Time{}, stored: map[string]bool{}, waiting: map[string][]vacateHost{}}
}

// extend grants a host until a time, and reports whether the store has a record of it.
func (g *grants) extend(host string, until time.Time) bool {
	if _, known := g.until[host]; !known {
		g.ended = slices.DeleteFunc(g.ended, func(ended string) bool { return ended == host })
		g.added = append(g.added, host)
	}
	g.until[host] = until
	return g.stored[host]
}

// restore grants a host of which an earlier owner has stored a record.
func (g *grants) restore(host string, until time.Time) { g.until[host], g.stored[host] = until, true }

// expire has the records of the hosts deleted whose cordons have ended.
func (g *grants) expire(now time.Time) {
	for _, host := range slices.Sorted(maps.Keys(g.stored)) {
		if now.After(g.until[host]) {
			delete(g.until, host)
			delete(g.stored, host)
			g.ended = append(g.ended, host)
		}
	}
}

// collect adds the records that wait to be written and returns the hosts that they grant. Requests for hosts whose
// record the store cannot hold are refused.
func (g *grants) collect(pool string, b *appendBuilder) (granted []string) {
	for len(g.ended) > 0 {
		if errors.Is(b.add(port.Record{Key: pool + keyGrant + g.ended[0]}), errNoRoom) {
			return nil
		}
		g.ended = g.ended[1:]
	}
	for len(g.added) > 0 {
		host := g.added[0]
		err := b.add(port.Record{Key: pool + keyGrant + host, Value: []byte{1}})
		if errors.Is(err, errNoRoom) {
			return granted
		}
		g.added = g.added[1:]
		if err == nil {
			granted = append(granted, host)
			continue
		}
		delete(g.until, host)
		for _, m := range g.take(host) {
			m.refuse(Answer{Outcome: Refused, Reason: err.Error()})
		}
	}
	return granted
}

// take returns the requests that wait for the record of a host, and forgets them.
func (g *grants) take(host string) []vacateHost {
	out := g.waiting[host]
	delete(g.waiting, host)
	return out
}

// settleGrants answers the requests for hosts whose records have been written.
func (c *core) settleGrants(hosts []string) {
	g := &c.journal.grants
	for _, host := range hosts {
		g.stored[host] = true
		for _, m := range g.take(host) {
			m.handle(c)
		}
	}
}
