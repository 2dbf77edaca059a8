package soak

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/spf13/cobra"
)

// Series are the options of runs with faults that are drawn from consecutive seeds.
type Series struct {
	// Bin is the folder with the programs.
	Bin string
	// Seed is the first of Seeds consecutive seeds.
	Seed  uint64
	Seeds int
	// Minutes is how long callers send requests with each seed.
	Minutes float64
	// Entries and Hosts are numbers of entries and of hosts of each pool.
	Entries, Hosts int
	// Faults are the kinds of faults; empty for all that apply.
	Faults []string
	// Keep is the folder for schedules, histories and logs; empty to keep none.
	Keep string
	// Out receives the results, Progress the schedules and the progress.
	Out, Progress io.Writer
}

// MinMinutes is the shortest traffic that contains a series of faults whatever the seed.
const MinMinutes = 0.25

var (
	errSeeds  = errors.New("the numbers of seeds, entries and hosts have to be positive")
	errLength = errors.New("the traffic has to last at least a quarter of a minute, for one series of faults")
)

// AddFlags adds the flags of the options to a command, with the options as they are as defaults. where says where the numbers of
// entries and hosts count.
func (s *Series) AddFlags(cmd *cobra.Command, known []Kind, where string) {
	f := cmd.Flags()
	f.StringVar(&s.Bin, "bin", "bin", "`folder` with the programs")
	f.Uint64Var(&s.Seed, "seed", 1, "first `seed`")
	f.IntVar(&s.Seeds, "seeds", 1, "`number` of consecutive seeds")
	f.Float64Var(&s.Minutes, "minutes", s.Minutes, "`minutes` of traffic for each seed")
	f.IntVar(&s.Entries, "entries", s.Entries, "`number` of entries"+where)
	f.IntVar(&s.Hosts, "hosts", s.Hosts, "`number` of hosts of each pool"+where)
	f.StringSliceVar(&s.Faults, "faults", nil, fmt.Sprintf("`kinds` of faults, of %v (default all)", known))
	f.StringVar(&s.Keep, "keep", "", "`folder` for schedules, histories and logs")
}

// Kinds checks the options and returns the kinds of faults to inject, of those that are known.
func (s *Series) Kinds(known []Kind) ([]Kind, error) {
	switch {
	case s.Seeds < 1 || s.Entries < 1 || s.Hosts < 1:
		return nil, errSeeds
	case s.Minutes < MinMinutes:
		return nil, errLength
	case len(s.Faults) == 0:
		return known, nil
	}
	var out []Kind
	for _, name := range s.Faults {
		if !slices.Contains(known, Kind(name)) {
			return nil, fmt.Errorf("unknown kind of fault %q, expected one of %v", name, known)
		}
		out = append(out, Kind(name))
	}
	return out, nil
}

// Traffic returns how long callers send requests with each seed.
func (s *Series) Traffic() time.Duration { return trafficTime(s.Minutes) }

// Folder creates the folder for the files of a run. remove removes it unless it is to be kept.
func (s *Series) Folder(seed uint64) (dir string, remove func(), err error) {
	if s.Keep != "" {
		dir = filepath.Join(s.Keep, fmt.Sprintf("seed-%d", seed))
		return dir, func() {}, os.MkdirAll(dir, 0o755)
	}
	dir, err = os.MkdirTemp("", "caraway-soak-")
	return dir, func() { os.RemoveAll(dir) }, err
}
