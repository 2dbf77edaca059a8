// Package apikey defines the keys with which teams call the entries of the product's own interface. A key is known to the fleet by
// its digest only; its plaintext exists at its owner.
package apikey

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/record"
)

// prefix begins every generated key, so that scanners for secrets recognize keys.
const prefix = "caraway-key-"

// Spec is a key in the log. The record's Object field names the key.
type Spec struct {
	// Team is the team whose requests carry the key.
	Team string `json:"team"`
	// Digest is the SHA-256 digest of the key in lower-case hexadecimal digits. No two keys have the same one.
	Digest string `json:"digest"`
}

// Kind returns [record.KindKey].
func (Spec) Kind() record.Kind { return record.KindKey }

// Check validates the fields. A problem does not repeat the digest, since a key may have been given in its place.
func (s Spec) Check() record.Problems {
	var p record.Problems
	p.CheckName("team", s.Team)
	if _, err := s.digest(); err != nil {
		p.Add("digest", "", fmt.Sprintf("a SHA-256 digest of %d lower-case hexadecimal digits", hex.EncodedLen(sha256.Size)))
	}
	return p
}

// digest decodes the digest.
func (s Spec) digest() (port.KeyDigest, error) {
	var out port.KeyDigest
	if len(s.Digest) != hex.EncodedLen(len(out)) || strings.ToLower(s.Digest) != s.Digest {
		return out, hex.ErrLength
	}
	_, err := hex.Decode(out[:], []byte(s.Digest))
	return out, err
}

// New returns a random key. Its 130 bits of entropy make a plain digest safe to store.
func New() string { return prefix + strings.ToLower(rand.Text()) }

// Digest returns the digest of a key as in [Spec.Digest].
func Digest(key string) string {
	digest := port.DigestOf(key)
	return hex.EncodeToString(digest[:])
}

// Config returns the configuration that decides on requests: callers need a key if there is any, and each team is a tenant. The
// version is that of the state that holds the keys.
func Config(keys map[string]*record.Versioned[Spec], version int64) *port.Config {
	teams := map[string][]port.KeyDigest{}
	for _, k := range keys {
		if digest, err := k.Spec.digest(); err == nil {
			teams[k.Spec.Team] = append(teams[k.Spec.Team], digest)
		}
	}
	config := &port.Config{Version: version, RequiresKeys: len(keys) > 0}
	for team, digests := range teams {
		config.Tenants = append(config.Tenants, port.Tenant{Name: team, Keys: digests})
	}
	return config
}
