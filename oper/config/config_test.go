package config_test

import (
	"bytes"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/exits"
	"carawaymux.dev/oper/root"
)

var update = flag.Bool("update", false, "write the golden files")

// machines is the list of a stand-in of the machine service: two machines in pool gpu.
const machines = `{"machines":[{"machine_id":"m1","pool":"gpu","state":"up"},{"machine_id":"m2","pool":"gpu","state":"up"}]}`

func machineService(t *testing.T, list string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, list) }))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// run executes a command line and returns its exit code, its output and its errors.
func run(args ...string) (int, string, string) {
	var out, errs bytes.Buffer
	code := root.Run(&deps.Streams{In: strings.NewReader("{}"), Out: &out, Err: &errs}, args)
	return code, out.String(), errs.String()
}

// Guards against findings that are missed, made where there is nothing to find, or given with the wrong line.
func TestEachFindingIsReportedWithItsLine(t *testing.T) {
	address := machineService(t, machines)
	withMachines, waves := []string{"--machines", address}, func(name string) []string {
		return []string{"--machines", address, "--wave", file(name)}
	}
	for name, c := range map[string]struct {
		code int
		args []string
	}{
		"sound":                     {exits.OK, append(withMachines, "--in-force", file("in-force"), "--task-cpu", "8000")},
		"syntax":                    {exits.Usage, nil},
		"wrong-type":                {exits.Usage, nil},
		"two-values":                {exits.Usage, nil},
		"common-key":                {exits.Usage, nil},
		"negative-cap":              {exits.Usage, nil},
		"duplicate-queue":           {exits.CheckFailed, nil},
		"duplicate-pool":            {exits.CheckFailed, nil},
		"unknown-pool":              {exits.CheckFailed, nil},
		"shadowed-queue":            {exits.CheckFailed, nil},
		"takes-ids":                 {exits.CheckFailed, nil},
		"unreachable-queue":         {exits.CheckFailed, nil},
		"deadline-below-target":     {exits.OK, nil},
		"stretch-below-one":         {exits.OK, nil},
		"unused-pool":               {exits.OK, nil},
		"pool-without-machine":      {exits.OK, withMachines},
		"tenant-without-key":        {exits.OK, nil},
		"nobody-admitted":           {exits.CheckFailed, nil},
		"anonymous-without-keys":    {exits.OK, nil},
		"cap-below-task":            {exits.CheckFailed, []string{"--task-cpu", "16000", "--task-memory-mb", "1024", "--task-gpu", "2"}},
		"no-weight":                 {exits.OK, nil},
		"idle-below-header-timeout": {exits.OK, nil},
		"not-newer":                 {exits.CheckFailed, []string{"--in-force", file("in-force")}},
		"wave-above-pool":           {exits.CheckFailed, waves("wave-above-pool")},
		"wave-above-itself":         {exits.OK, waves("wave-above-itself")},
		"wave-without-budget":       {exits.CheckFailed, waves("wave-without-budget")},
		"unknown-machine":           {exits.OK, waves("unknown-machine")},
	} {
		t.Run(name, func(t *testing.T) {
			config := name
			if strings.HasPrefix(name, "wave-") || name == "unknown-machine" {
				config = "sound"
			}
			code, out, errs := run(append([]string{"config", "check", file(config), "--json", "line,severity,rule,path,text"}, c.args...)...)
			requireGolden(t, name, out)
			require.Equal(t, c.code, code, errs)
			require.NotContains(t, out+errs, "a-secret")
			if name != "sound" && c.code != exits.Usage {
				require.Contains(t, out, `"`+name+`"`)
			}
		})
	}
}

func file(name string) string { return filepath.Join("testdata", name+".json") }

func requireGolden(t *testing.T, name, got string) {
	t.Helper()
	golden := filepath.Join("testdata", name+".golden")
	if *update {
		require.NoError(t, os.WriteFile(golden, []byte(got), 0o644))
	}
	want, err := os.ReadFile(golden)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}

// Guards against differences that are not shown or have no effect, and against keys in the output.
func TestDiffShowsWhatChangesInEffect(t *testing.T) {
	code, out, errs := run("config", "diff", file("diff"), "--in-force", file("in-force"))
	require.Equal(t, exits.OK, code, errs)
	require.NotContains(t, out, "secret")
	requireGolden(t, "diff", out)
	code, _, _ = run("config", "diff", file("diff"), "--in-force", file("in-force"), "--check")
	require.Equal(t, exits.CheckFailed, code)
	code, out, errs = run("config", "diff", file("reordered"), "--in-force", file("in-force"), "--check")
	require.Equal(t, exits.OK, code, errs)
	require.Empty(t, out)
}

// Guards against exit codes that do not tell a mistake in the configuration from one of the command line or an outage.
func TestExitCodesOfUnusableSources(t *testing.T) {
	for name, c := range map[string]struct {
		code int
		args []string
	}{
		"no file":             {exits.Usage, []string{"config", "check", "missing.json"}},
		"no source":           {exits.Usage, []string{"config", "diff", file("sound")}},
		"two sources":         {exits.Usage, []string{"config", "diff", file("sound"), "--store", "127.0.0.1:1", "--in-force", file("in-force")}},
		"store away":          {exits.Unreachable, []string{"config", "diff", file("sound"), "--store", "127.0.0.1:1"}},
		"machines away":       {exits.Unreachable, []string{"config", "check", file("sound"), "--machines", "127.0.0.1:1"}},
		"source unreadable":   {exits.Usage, []string{"config", "diff", file("sound"), "--in-force", file("syntax")}},
		"wave unreadable":     {exits.Usage, []string{"config", "check", file("sound"), "--wave", file("syntax")}},
		"from standard input": {exits.OK, []string{"config", "check", "-"}},
	} {
		code, _, errs := run(c.args...)
		require.Equal(t, c.code, code, "%s: %s", name, errs)
	}
}
