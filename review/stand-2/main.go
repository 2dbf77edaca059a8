// Command stand-2 runs the cases of the second review: the system's processes on a stand-in of the platform, its
// workers and its consumers, on loopback addresses. The exit code is 1 if the rule of the case was broken, 0 if it held
// and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases holds the cases by name.
var cases = map[string]func(r *Record, trouble bool) error{
	"many-ends":     manyEnds,
	"foreign-entry": foreignEntry,
	"wave-changed":  waveChanged,
	"grey-gang":     greyGang,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE FOLDER; run it in the root of the repository")
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, folder string) int {
	r, err := OpenRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.Add("case %s, disruption: %v", name, trouble)
	if err := cases[name](r, trouble); err != nil {
		r.Add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	broken := r.Broken()
	for _, text := range broken[:min(len(broken), 10)] {
		fmt.Println(text)
	}
	fmt.Printf("%d breaches of the rule\n", len(broken))
	if len(broken) > 0 {
		return 1
	}
	return 0
}
