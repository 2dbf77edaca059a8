package keys_test

import (
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/keys"
)

func requestWithKey(key string) *http.Request {
	r, _ := http.NewRequest(http.MethodPost, "http://x/", nil)
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	return r
}

func TestStoreIdentifiesKeyOwnersAndReloadsFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	write := func(text string, at time.Time) {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		require.NoError(t, os.Chtimes(path, at, at))
	}
	write("# keys\npeer aaaaaaaaaaaaaaaa\noperator ana bbbbbbbbbbbbbbbb\n", time.Unix(1000, 0))
	store, err := keys.Open(path, false, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	defer store.Close()
	require.True(t, store.Allows(requestWithKey("aaaaaaaaaaaaaaaa"), keys.Peer))
	require.False(t, store.Allows(requestWithKey("aaaaaaaaaaaaaaaa"), keys.Operator), "a peer key does not give the operator role")
	require.False(t, store.Allows(requestWithKey(""), keys.Peer))
	require.False(t, store.Allows(requestWithKey("zzzzzzzzzzzzzzzz"), keys.Peer))
	id, ok := store.Identify(requestWithKey("bbbbbbbbbbbbbbbb"))
	require.True(t, ok)
	require.Equal(t, keys.Identity{Role: keys.Operator, Name: "ana"}, id)
	require.Equal(t, "aaaaaaaaaaaaaaaa", store.PeerKey())

	write("peer cccccccccccccccc\npeer aaaaaaaaaaaaaaaa\n", time.Unix(2000, 0))
	require.Eventually(t, func() bool { return store.PeerKey() == "cccccccccccccccc" }, 10*time.Second, 50*time.Millisecond)
	require.True(t, store.Allows(requestWithKey("aaaaaaaaaaaaaaaa"), keys.Peer), "the old and the new peer key are valid during a rotation")
	require.False(t, store.Allows(requestWithKey("bbbbbbbbbbbbbbbb"), keys.Operator))

	write("peer short\n", time.Unix(3000, 0))
	time.Sleep(1500 * time.Millisecond)
	require.Equal(t, "cccccccccccccccc", store.PeerKey(), "an invalid file keeps the previous keys")
}

func TestOpenRejectsInvalidKeyFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	require.NoError(t, os.WriteFile(path, []byte("peer aaaaaaaaaaaaaaaa\nking bbbbbbbbbbbbbbbb\n"), 0o600))
	_, err := keys.Open(path, false, slog.New(slog.DiscardHandler))
	require.ErrorContains(t, err, "keys:2")
}
