package conf_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/conf"
)

func TestErrReportsAllProblems(t *testing.T) {
	f, err := conf.Parse("x.ini", []byte(`
[entry]
name = Bad Name
zoned = x
[limits]
queue = many
body = 3MB
share = 2
[listen]
http = localhost:80
clear = maybe
[unknown]
a = b
`))
	require.NoError(t, err)
	f.Name("entry", "name")
	f.Name("entry", "zone")
	f.Int("limits", "queue", 1, 0, 10)
	f.Bytes("limits", "body", 1, 1, 1<<20)
	f.Fraction("limits", "share", 0)
	f.Address("listen", "http")
	f.Bool("listen", "clear", false)
	err = f.Err()
	var problems conf.Problems
	require.ErrorAs(t, err, &problems)
	var settings []string
	for _, p := range problems {
		settings = append(settings, p.Section+"."+p.Key)
	}
	require.ElementsMatch(t, []string{
		"entry.name", "entry.zone", "limits.queue", "limits.body", "limits.share", "listen.http", "listen.clear",
		"entry.zoned", "unknown.",
	}, settings)
	require.ErrorContains(t, err, "[limits] queue = many: must be a whole number from 0 to 10")
}

func TestFileReadsValuesAndDefaults(t *testing.T) {
	f, err := conf.Parse("x.ini", []byte("[a]\nsize = 64KiB\nwait = 1.5s\nkind = blue ; a remark\nbest = http://10.0.0.1:80\n"))
	require.NoError(t, err)
	require.Equal(t, 64<<10, f.Bytes("a", "size", 0, 0, 1<<20))
	require.Equal(t, 1500*time.Millisecond, f.Duration("a", "wait", 0, 0, time.Minute))
	require.Equal(t, "blue", f.OneOf("a", "kind", "red", "red", "blue"))
	require.Equal(t, "http://10.0.0.1:80", f.URL("a", "best"))
	require.Equal(t, 7, f.Int("a", "missing", 7, 0, 10))
	require.NoError(t, f.Err())
}
