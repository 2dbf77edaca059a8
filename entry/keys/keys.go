// Package keys authenticates operators and peers by bearer keys, and entries by TLS certificates.
// Keys come from a file that is reloaded when it changes, so they can be replaced without a
// restart.
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

// Role determines what the owner of a key may do.
type Role string

// Roles of key owners.
const (
	// Peer is another entry.
	Peer Role = "peer"
	// Operator may publish records.
	Operator Role = "operator"
)

// minKeyBytes is the minimum length of a key.
const minKeyBytes = 16

// reloadInterval is the time between two checks of the file for changes.
const reloadInterval = time.Second

// Identity is the owner of a key.
type Identity struct {
	Role Role
	// Name is the name of an operator; empty for peers.
	Name string
}

// hashedKey is one key of the file, stored as a hash, with its owner.
type hashedKey struct {
	Identity
	hash [sha256.Size]byte
}

// keySet holds the keys of the file.
type keySet struct {
	keys []hashedKey
	// peerKey is the first peer key of the file. The entry presents it when it dials a peer.
	peerKey string
}

// Store looks up the owners of keys. Use [Open] to build it.
type Store struct {
	path     string
	allowAll bool
	logger   *slog.Logger
	task     *task.Task[chan<- keySet]
}

// Open reads the key file and reloads it when it changes. With allowAll there is no file, and every
// request is allowed.
func Open(path string, allowAll bool, logger *slog.Logger) (*Store, error) {
	s := &Store{path: path, allowAll: allowAll, logger: logger}
	var initial keySet
	if !allowAll {
		var err error
		if initial, err = loadKeys(path); err != nil {
			return nil, err
		}
	}
	s.task = task.Start(func(ctx context.Context, inbox <-chan chan<- keySet) { s.run(ctx, inbox, initial) })
	return s, nil
}

// Close stops watching the file.
func (s *Store) Close() { s.task.Close() }

// Identify returns the owner of a request's bearer key. It returns false if the request has no key
// or an unknown one.
func (s *Store) Identify(r *http.Request) (Identity, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return Identity{}, false
	}
	current, err := s.currentKeys(r.Context())
	if err != nil {
		return Identity{}, false
	}
	hash := sha256.Sum256([]byte(key))
	for _, k := range current.keys {
		if subtle.ConstantTimeCompare(k.hash[:], hash[:]) == 1 {
			return k.Identity, true
		}
	}
	return Identity{}, false
}

// Allows reports whether the owner of a request's key has the role.
func (s *Store) Allows(r *http.Request, role Role) bool {
	if s.allowAll {
		return true
	}
	id, ok := s.Identify(r)
	return ok && id.Role == role
}

// PeerKey returns the key that this entry presents to peers.
func (s *Store) PeerKey() string {
	current, err := s.currentKeys(context.Background())
	if err != nil {
		return ""
	}
	return current.peerKey
}

func (s *Store) currentKeys(ctx context.Context) (keySet, error) {
	return task.Call(ctx, s.task, func(reply chan<- keySet) chan<- keySet { return reply })
}

func (s *Store) run(ctx context.Context, inbox <-chan chan<- keySet, current keySet) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	var modTime time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case reply := <-inbox:
			reply <- current
		case <-ticker.C:
			info, err := os.Stat(s.path)
			if s.allowAll || err != nil || info.ModTime().Equal(modTime) {
				continue
			}
			modTime = info.ModTime()
			reloaded, err := loadKeys(s.path)
			if err != nil {
				s.logger.Error("key file could not be reloaded; the previous keys stay valid", "err", err)
				continue
			}
			current = reloaded
		}
	}
}

func loadKeys(path string) (keySet, error) {
	f, err := os.Open(path)
	if err != nil {
		return keySet{}, fault.At("read-keys", path, err)
	}
	defer f.Close()
	var out keySet
	scanner := bufio.NewScanner(f)
	for line := 1; scanner.Scan(); line++ {
		fields := strings.Fields(scanner.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		id, key, err := parseLine(fields)
		if err != nil {
			return keySet{}, fault.At("read-keys", fmt.Sprintf("%s:%d", path, line), err)
		}
		if id.Role == Peer && out.peerKey == "" {
			out.peerKey = key
		}
		out.keys = append(out.keys, hashedKey{Identity: id, hash: sha256.Sum256([]byte(key))})
	}
	return out, fault.At("read-keys", path, scanner.Err())
}

func parseLine(fields []string) (Identity, string, error) {
	var id Identity
	switch {
	case len(fields) == 2 && fields[0] == string(Peer):
		id = Identity{Role: Peer}
	case len(fields) == 3 && fields[0] == string(Operator):
		id = Identity{Role: Operator, Name: fields[1]}
	default:
		return id, "", fmt.Errorf(`invalid line: expected "peer KEY" or "operator NAME KEY"`)
	}
	key := fields[len(fields)-1]
	if len(key) < minKeyBytes {
		return id, "", fmt.Errorf("the key has %d bytes, expected at least %d", len(key), minKeyBytes)
	}
	return id, key, nil
}
