package soak

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/trial/fake"
)

// Open counts the requests that were open at moments of a run.
type Open struct {
	// Moments counts pairs of a moment and an entry.
	Moments int `json:"moments"`
	// Bare counts those of them at which no request was open at the entry, NoLong, NoWaiting and NoUpload those without an
	// open request of the kind below.
	Bare      int `json:"bare"`
	NoLong    int `json:"no-long"`
	NoWaiting int `json:"no-waiting"`
	NoUpload  int `json:"no-upload"`
	// Whole counts the requests that had been sent as a whole and had no answer, Long those of them that had been sent
	// more than loss_slack_ms before, and Waiting the submissions among them. Uploads counts those sent in part.
	Whole   int `json:"whole"`
	Long    int `json:"long"`
	Waiting int `json:"waiting"`
	Uploads int `json:"uploads"`
}

func (o Open) String() string {
	return fmt.Sprintf("%d moments, %d bare, %d whole, %d long, %d submissions, %d uploads (none at %d, %d and %d)",
		o.Moments, o.Bare, o.Whole, o.Long, o.Waiting, o.Uploads, o.NoLong, o.NoWaiting, o.NoUpload)
}

// openAt adds the requests that were open at an entry at a time.
func (h *History) openAt(o *Open, entry string, at time.Duration) {
	before := *o
	for _, r := range h.Requests {
		switch {
		case r.Entry != entry || r.BeginAt > at || r.EndAt <= at:
		case r.SentAt > at:
			o.Uploads++
		default:
			o.Whole++
			if at-r.SentAt > lossSlack {
				o.Long++
			}
			if r.Verb == Submit {
				o.Waiting++
			}
		}
	}
	for _, r := range h.Partial {
		if r.Entry == entry && r.BeginAt <= at && r.EndAt > at {
			o.Uploads++
		}
	}
	o.Moments++
	o.Bare += none(o.Whole+o.Uploads, before.Whole+before.Uploads)
	o.NoLong += none(o.Long, before.Long)
	o.NoWaiting += none(o.Waiting, before.Waiting)
	o.NoUpload += none(o.Uploads, before.Uploads)
}

// none returns 1 if a count has not changed, and 0 otherwise.
func none(now, before int) int {
	if now == before {
		return 1
	}
	return 0
}

// openAtStops counts the requests that were open at entries when they were stopped.
func (h *History) openAtStops() Open {
	var o Open
	for _, w := range h.Windows {
		if w.Kind == Term {
			h.openAt(&o, w.Target, w.From)
		}
	}
	return o
}

// serves reports whether an entry ran at a time and had accepted a request since its last start.
func (h *History) serves(entry string, at time.Duration) bool {
	startedAt := time.Duration(-1)
	for _, w := range h.Windows {
		if w.Target == entry && (w.Kind == Term || w.Kind == Kill) && w.From <= at {
			startedAt = max(startedAt, w.To)
		}
	}
	return startedAt < 0 || slices.ContainsFunc(h.Requests, func(r Request) bool {
		return r.Entry == entry && r.SentAt > startedAt && r.EndAt <= at && r.Status == http.StatusOK
	})
}

// disturbance is the time for which a fault counts as active after its end.
const disturbance = time.Second

// disturbed reports whether an unplanned fault was active that may make an entry refuse what callers ask: one of the entry,
// of its connections to others or to the store, or of the store.
func (h *History) disturbed(entry string, at time.Duration) bool {
	return slices.ContainsFunc(h.Windows, func(w Window) bool {
		if w.Kind.planned() || w.From > at || w.To+disturbance < at {
			return false
		}
		switch w.Kind {
		case StoreBusy, StoreSilent, StoreLossy, StoreSlow, StoreFull, StoreTrim:
			return true
		}
		return w.Target == entry || w.Target == LinkName(entry, fake.StoreLink)
	})
}

// openAtChanges counts the requests that were open at entries when a pool changed its owner during the traffic: at those that
// served callers and that no unplanned fault hit. That a pool gets its first owner is no change.
func (h *History) openAtChanges(entries []string) Open {
	var o Open
	owned := map[string]bool{}
	for _, c := range h.Changes {
		first := !owned[c.Pool]
		owned[c.Pool] = true
		if first || c.At < h.TrafficStart || c.At > h.TrafficEnd {
			continue
		}
		for _, e := range entries {
			if h.serves(e, c.At) && !h.disturbed(e, c.At) {
				h.openAt(&o, e, c.At)
			}
		}
	}
	return o
}

// entries returns the names of the entries that were probed.
func (h *History) entries() []string {
	var out []string
	for _, p := range h.Probes {
		out = append(out, p.Entry)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// readChanges reads the changes of owners from the logs of entries.
func readChanges(dir string, entries []*fake.Entry, startedAt time.Time) ([]Change, error) {
	var out []Change
	for _, e := range entries {
		raw, err := os.ReadFile(filepath.Join(dir, e.Name+".log"))
		if err != nil {
			return nil, fault.At("read-log", e.Name, err)
		}
		for lines := bufio.NewScanner(bytes.NewReader(raw)); lines.Scan(); {
			var line struct {
				Time      time.Time `json:"time"`
				Msg, Pool string
			}
			// Lines that are cut short by the end of a process do not count.
			if json.Unmarshal(lines.Bytes(), &line) == nil && line.Msg == "pool taken over" {
				out = append(out, Change{line.Pool, e.Name, line.Time.Sub(startedAt)})
			}
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.At, b.At) })
	return out, nil
}
