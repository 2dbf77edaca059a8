package apikey_test

import (
	"fmt"
	"testing"

	"carawaymux.dev/fleet/access"
	"carawaymux.dev/fleet/apikey"
	"carawaymux.dev/fleet/record"
)

// The number of teams that are expected in future, and keys of each.
const benchTeams, benchKeys = 760, 4

func benchState() (keys map[string]*record.Versioned[apikey.Spec], one string) {
	keys = map[string]*record.Versioned[apikey.Spec]{}
	for team := range benchTeams {
		for k := range benchKeys {
			one = apikey.New()
			keys[fmt.Sprintf("k-%d-%d", team, k)] = &record.Versioned[apikey.Spec]{Spec: apikey.Spec{Team: fmt.Sprintf("t-%d", team), Digest: apikey.Digest(one)}}
		}
	}
	return keys, one
}

// BenchmarkDecide decides on a request, as each request of a caller does.
func BenchmarkDecide(b *testing.B) {
	keys, one := benchState()
	table := access.NewTable(apikey.Config(keys, 1))
	for b.Loop() {
		if table.Decide(one, false, access.Freshness{Current: true, Unrevoked: true}).Tenant == "" {
			b.Fatal("not allowed")
		}
	}
}

// BenchmarkTable builds the table, as each change of a key does.
func BenchmarkTable(b *testing.B) {
	keys, _ := benchState()
	for b.Loop() {
		access.NewTable(apikey.Config(keys, 1))
	}
}
