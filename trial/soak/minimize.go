package soak

import (
	"context"
	"fmt"
	"os"
	"slices"
)

// minimize drops faults from a schedule one by one as long as it still breaks a promise, and returns those that are
// left.
func minimize(schedule []Fault, breaks func([]Fault) (bool, error)) ([]Fault, error) {
	for i := 0; i < len(schedule); {
		shorter := slices.Delete(slices.Clone(schedule), i, i+1)
		broken, err := breaks(shorter)
		if err != nil {
			return schedule, err
		}
		if broken {
			schedule = shorter
		} else {
			i++
		}
	}
	return schedule, nil
}

// minimizeCase minimizes the schedule of a case that broke promises and prints the result. A run without a breach is
// not repeated, so that faults which matter only at times may be kept.
func minimizeCase(ctx context.Context, o *Options, c Case, broken []Breach) error {
	left, err := minimize(c.Schedule, func(shorter []Fault) (bool, error) {
		dir, err := os.MkdirTemp("", "caraway-soak-")
		if err != nil {
			return false, err
		}
		defer os.RemoveAll(dir)
		repeated := c
		repeated.Schedule = shorter
		h, err := play(ctx, o, repeated, dir)
		if err != nil {
			return false, err
		}
		r := judge(c.Seed, h)
		fmt.Fprintf(o.Progress, "seed %d with %d faults: %s\n", c.Seed, len(shorter), r.summary())
		return slices.ContainsFunc(r.Broken, func(b Breach) bool {
			return slices.ContainsFunc(broken, func(first Breach) bool { return first.Promise == b.Promise })
		}), nil
	})
	fmt.Fprintf(o.Progress, "seed %d: %d of %d faults are left\n", c.Seed, len(left), len(c.Schedule))
	for _, f := range left {
		fmt.Fprintln(o.Progress, "  "+f.String())
	}
	return err
}
