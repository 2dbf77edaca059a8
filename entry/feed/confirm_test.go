package feed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a feed that takes what it has read for newer than it is: a call that found records proves nothing about the time
// after it was sent, and one that found none only as much as the store had been asked to wait.
func TestACallConfirmsNoMoreThanTheStoreHasShown(t *testing.T) {
	const sent, wait = time.Hour, 2 * time.Second
	for name, c := range map[string]struct {
		answered time.Duration
		records  int
		want     time.Duration
	}{
		"nothing after the whole wait": {sent + wait + time.Second, 0, sent + wait},
		"nothing before its end":       {sent + wait - 1, 0, sent},
		"records after the whole wait": {sent + wait + time.Second, 1, sent},
		"records at once":              {sent, 1, sent},
	} {
		require.Equal(t, c.want, asOf(sent, c.answered, wait, c.records), name)
	}
}
