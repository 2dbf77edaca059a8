package edits

import (
	"fmt"
	"os"
)

// Main builds the programs that the tests of a package run as processes, sets bin to their folder, runs the tests and returns the
// exit code.
func Main(tests interface{ Run() int }, bin *string, root string, packages ...string) int {
	dir, err := os.MkdirTemp("", "caraway-test-")
	if err == nil {
		defer os.RemoveAll(dir)
		*bin, err = Build(root, dir, packages)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return tests.Run()
}
