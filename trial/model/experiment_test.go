package model_test

import (
	"encoding/json"
	"io"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/trial/model"
)

func TestExperimentPrintsARowForEachShapeAndPolicy(t *testing.T) {
	var out strings.Builder
	picture := filepath.Join(t.TempDir(), "out", "sizes.png")
	cmd := model.New(&out, io.Discard)
	cmd.SetArgs([]string{"--shape", "turns", "--shape", "steady", "--policy", "static", "--policy", "forecast", "--json", "--picture", picture})
	require.NoError(t, cmd.Execute())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 4)
	var row model.Row
	require.NoError(t, json.Unmarshal([]byte(lines[0]), &row))
	require.Equal(t, "turns", row.Shape)
	require.Equal(t, "static", row.Policy)
	require.Positive(t, row.RegretServed)
	require.Positive(t, row.InTime)
	require.Positive(t, row.Largest)
	require.Positive(t, row.FifthBelow)
	require.FileExists(t, picture)
}

func TestExperimentNamesWhatItDoesNotKnow(t *testing.T) {
	for _, args := range [][]string{{"--fleet", "tiny"}, {"--shape", "round"}, {"--policy", "none", "--shape", "steady"}, {"--seeds", "0"}} {
		cmd := model.New(io.Discard, io.Discard)
		cmd.SilenceErrors, cmd.SilenceUsage = true, true
		cmd.SetArgs(args)
		require.Error(t, cmd.Execute(), args)
	}
}
