// Package keys tells who a key belongs to. Keys come from a file that is read again
// when it changes, so that they can be changed without a restart.
package keys

import (
	"bufio"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"time"

	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/fleet/task"
)

// Role is what the owner of a key may do.
type Role string

// The roles.
const (
	// Peer is another entry.
	Peer Role = "peer"
	// Operator may publish records.
	Operator Role = "operator"
)

// minKey is the shortest key, in bytes.
const minKey = 16

// reloadEvery is the time between two looks at the file.
const reloadEvery = time.Second

// Identity is the owner of a key.
type Identity struct {
	Role Role
	// Name is an operator's name; empty for peers.
	Name string
}

// entry is a line of the file.
type entry struct {
	Identity
	sum [sha256.Size]byte
}

// ring is the content of the file.
type ring struct {
	entries []entry
	// peerKey is the first peer key; entries present it when they dial.
	peerKey string
}

// Store answers who a key belongs to. Use [Open] to build it.
type Store struct {
	path   string
	open   bool
	logger *slog.Logger
	core   *task.Task[chan<- ring]
}

// Open reads the file and follows it. With open set there is no file and everyone is
// let in.
func Open(path string, open bool, logger *slog.Logger) (*Store, error) {
	s := &Store{path: path, open: open, logger: logger}
	var first ring
	if !open {
		var err error
		if first, err = load(path); err != nil {
			return nil, err
		}
	}
	s.core = task.Start(func(ctx context.Context, inbox <-chan chan<- ring) { s.run(ctx, inbox, first) })
	return s, nil
}

// Close stops following the file.
func (s *Store) Close() { s.core.Close() }

// Identify returns who a request's bearer key belongs to.
func (s *Store) Identify(r *http.Request) (Identity, bool) {
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return Identity{}, false
	}
	ring, err := s.ring(r.Context())
	if err != nil {
		return Identity{}, false
	}
	sum := sha256.Sum256([]byte(key))
	for _, e := range ring.entries {
		if subtle.ConstantTimeCompare(e.sum[:], sum[:]) == 1 {
			return e.Identity, true
		}
	}
	return Identity{}, false
}

// Allows reports whether a request comes from someone with a role.
func (s *Store) Allows(r *http.Request, role Role) bool {
	if s.open {
		return true
	}
	id, known := s.Identify(r)
	return known && id.Role == role
}

// PeerKey returns the key that this entry shows to peers.
func (s *Store) PeerKey() string {
	ring, err := s.ring(context.Background())
	if err != nil {
		return ""
	}
	return ring.peerKey
}

func (s *Store) ring(ctx context.Context) (ring, error) {
	return task.Call(ctx, s.core, func(reply chan<- ring) chan<- ring { return reply })
}

func (s *Store) run(ctx context.Context, inbox <-chan chan<- ring, current ring) {
	tick := time.NewTicker(reloadEvery)
	defer tick.Stop()
	var changed time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case reply := <-inbox:
			reply <- current
		case <-tick.C:
			info, err := os.Stat(s.path)
			if s.open || err != nil || info.ModTime().Equal(changed) {
				continue
			}
			changed = info.ModTime()
			next, err := load(s.path)
			if err != nil {
				s.logger.Error("keys stay as they are", "error", err)
				continue
			}
			current = next
		}
	}
}

func load(path string) (ring, error) {
	f, err := os.Open(path)
	if err != nil {
		return ring{}, fault.At("read-keys", path, err)
	}
	defer f.Close()
	var out ring
	scan := bufio.NewScanner(f)
	for line := 1; scan.Scan(); line++ {
		words := strings.Fields(scan.Text())
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		id, key, err := parse(words)
		if err != nil {
			return ring{}, fault.At("read-keys", fmt.Sprintf("%s:%d", path, line), err)
		}
		if id.Role == Peer && out.peerKey == "" {
			out.peerKey = key
		}
		out.entries = append(out.entries, entry{Identity: id, sum: sha256.Sum256([]byte(key))})
	}
	return out, fault.At("read-keys", path, scan.Err())
}

func parse(words []string) (Identity, string, error) {
	var id Identity
	switch {
	case len(words) == 2 && words[0] == string(Peer):
		id = Identity{Role: Peer}
	case len(words) == 3 && words[0] == string(Operator):
		id = Identity{Role: Operator, Name: words[1]}
	default:
		return id, "", fmt.Errorf(`a line must be "peer KEY" or "operator NAME KEY"`)
	}
	key := words[len(words)-1]
	if len(key) < minKey {
		return id, "", fmt.Errorf("the key has %d bytes, at least %d are needed", len(key), minKey)
	}
	return id, key, nil
}
