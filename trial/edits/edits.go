// Package edits builds programs with edits of their sources, for tests that have to see a fault of the programs.
package edits

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"carawaymux.dev/fleet/fault"
)

// Edit replaces a text in a source file of the programs. The text must be there once.
type Edit struct{ File, Text, By string }

// Build builds packages with edits of their sources. root is the folder of the workspace, dir an empty folder for the files of the
// build. It returns the folder of the programs.
func Build(root, dir string, packages []string, list ...Edit) (string, error) {
	sources, overlay := map[string]string{}, map[string]string{}
	for _, e := range list {
		path, err := filepath.Abs(filepath.Join(root, e.File))
		if err != nil {
			return "", err
		}
		if _, ok := sources[path]; !ok {
			raw, err := os.ReadFile(path)
			if err != nil {
				return "", err
			}
			sources[path] = string(raw)
		}
		if n := strings.Count(sources[path], e.Text); n != 1 {
			return "", fault.New("edit", e.File, "%q is there %d times, expected once", e.Text, n)
		}
		sources[path] = strings.Replace(sources[path], e.Text, e.By, 1)
	}
	for path, source := range sources {
		overlay[path] = filepath.Join(dir, fmt.Sprintf("%d-%s", len(overlay), filepath.Base(path)))
		if err := os.WriteFile(overlay[path], []byte(source), 0o600); err != nil {
			return "", err
		}
	}
	raw, err := json.Marshal(map[string]any{"Replace": overlay})
	if err != nil {
		return "", err
	}
	overlayFile, out := filepath.Join(dir, "overlay.json"), filepath.Join(dir, "bin")
	if err := os.WriteFile(overlayFile, raw, 0o600); err != nil {
		return "", err
	}
	build := exec.Command("go", append([]string{"build", "-overlay", overlayFile, "-o", out + "/"}, packages...)...)
	build.Dir = root
	if output, err := build.CombinedOutput(); err != nil {
		return "", fault.New("build", out, "%v: %s", err, output)
	}
	return out, nil
}
