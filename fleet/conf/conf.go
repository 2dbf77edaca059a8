// Package conf reads settings from INI files. It reports all problems of a file together, each with
// its section, its key, the value found and the values allowed.
package conf

import (
	"fmt"
	"net"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/fleet/record"
)

// Problem is one invalid, missing or unknown setting.
type Problem struct {
	// Section and Key locate the problem; Key is empty if it concerns the whole section.
	Section, Key string
	// Got is the value found; empty if the key is missing.
	Got string
	// Allowed says which values the key may have.
	Allowed string
}

// String returns "[section] key = got: allowed".
func (p Problem) String() string {
	setting := "[" + p.Section + "]"
	if p.Key != "" {
		setting += " " + p.Key
	}
	if p.Got == "" {
		return setting + ": " + p.Allowed
	}
	return fmt.Sprintf("%s = %s: %s", setting, p.Got, p.Allowed)
}

// Problems lists the problems of one file. A list that is not empty is an error.
type Problems []Problem

// Error lists the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// File reads one settings file. A key is known once it has been read. Keys and sections of the file
// that are still unknown when [File.Err] is called are problems.
type File struct {
	path     string
	ini      *ini.File
	known    map[string]map[string]bool
	problems Problems
}

// Load opens a settings file.
func Load(path string) (*File, error) {
	return parse(path, path)
}

// Parse reads settings from memory. Errors show name in place of a path.
func Parse(name string, data []byte) (*File, error) {
	return parse(name, data)
}

func parse(name string, source any) (*File, error) {
	f, err := ini.LoadSources(ini.LoadOptions{
		KeyValueDelimiters: "=", IgnoreInlineComment: false, AllowShadows: false,
	}, source)
	if err != nil {
		return nil, fault.At("read-settings", name, err)
	}
	return &File{path: name, ini: f, known: make(map[string]map[string]bool)}, nil
}

// Err returns the problems found so far, including unknown sections and keys, or nil if there are
// none. Call it after all settings have been read.
func (f *File) Err() error {
	for _, s := range f.ini.Sections() {
		f.checkSection(s)
	}
	if len(f.problems) == 0 {
		return nil
	}
	return fault.At("check-settings", f.path, f.problems)
}

func (f *File) checkSection(s *ini.Section) {
	keys := f.known[s.Name()]
	if keys == nil && s.Name() != ini.DefaultSection {
		f.AddProblem(s.Name(), "", "", "unknown section; known sections: "+strings.Join(f.knownSections(), ", "))
		return
	}
	for _, k := range s.Keys() {
		if !keys[k.Name()] {
			f.AddProblem(s.Name(), k.Name(), k.String(), "unknown key")
		}
	}
}

func (f *File) knownSections() []string {
	var out []string
	for name := range f.known {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// AddProblem adds a problem that the caller has found.
func (f *File) AddProblem(section, key, got, allowed string) {
	f.problems = append(f.problems, Problem{Section: section, Key: key, Got: got, Allowed: allowed})
}

// value returns the text of a key and marks the key as known. It returns false if the key is missing.
func (f *File) value(section, key string) (string, bool) {
	if f.known[section] == nil {
		f.known[section] = make(map[string]bool)
	}
	f.known[section][key] = true
	if !f.ini.HasSection(section) || !f.ini.Section(section).HasKey(key) {
		return "", false
	}
	return strings.TrimSpace(f.ini.Section(section).Key(key).String()), true
}

// read parses a key. It returns the fallback if the key is missing or invalid.
func read[T any](f *File, section, key string, fallback T, allowed string, parse func(string) (T, bool)) T {
	text, found := f.value(section, key)
	if !found {
		return fallback
	}
	v, ok := parse(text)
	if !ok {
		f.AddProblem(section, key, text, allowed)
		return fallback
	}
	return v
}

// Require adds a problem if a key is missing or empty.
func (f *File) Require(section, key, allowed string) {
	if text, _ := f.value(section, key); text == "" {
		f.AddProblem(section, key, "", "missing; "+allowed)
	}
}

// Text reads a string. Any value is valid.
func (f *File) Text(section, key, fallback string) string {
	return read(f, section, key, fallback, "", func(s string) (string, bool) { return s, true })
}

// Name reads an object name, which must be present.
func (f *File) Name(section, key string) string {
	allowed := fmt.Sprintf("must be 1 to %d lower-case letters, digits, dots and dashes", record.MaxName)
	f.Require(section, key, allowed)
	return read(f, section, key, "", allowed, func(s string) (string, bool) {
		return s, s == "" || record.ValidName(s)
	})
}

// OneOf reads one of the given words.
func (f *File) OneOf(section, key, fallback string, words ...string) string {
	return read(f, section, key, fallback, "must be one of "+strings.Join(words, ", "),
		func(s string) (string, bool) { return s, slices.Contains(words, s) })
}

// Bool reads yes or no.
func (f *File) Bool(section, key string, fallback bool) bool {
	return read(f, section, key, fallback, "must be yes or no", func(s string) (bool, bool) {
		return s == "yes", s == "yes" || s == "no"
	})
}

// Int reads a whole number from lo to hi, inclusive.
func (f *File) Int(section, key string, fallback, lo, hi int) int {
	return read(f, section, key, fallback, fmt.Sprintf("must be a whole number from %d to %d", lo, hi),
		func(s string) (int, bool) {
			n, err := strconv.Atoi(s)
			return n, err == nil && n >= lo && n <= hi
		})
}

// Fraction reads a number from 0 to 1.
func (f *File) Fraction(section, key string, fallback float64) float64 {
	return read(f, section, key, fallback, "must be a number from 0 to 1", func(s string) (float64, bool) {
		x, err := strconv.ParseFloat(s, 64)
		return x, err == nil && x >= 0 && x <= 1
	})
}

// Duration reads a duration from lo to hi, inclusive.
func (f *File) Duration(section, key string, fallback, lo, hi time.Duration) time.Duration {
	return read(f, section, key, fallback, fmt.Sprintf("must be a duration from %v to %v, as in 500ms", lo, hi),
		func(s string) (time.Duration, bool) {
			d, err := time.ParseDuration(s)
			return d, err == nil && d >= lo && d <= hi
		})
}

// byteUnits are the units of sizes. B comes last because the other suffixes end in it.
var byteUnits = []struct {
	suffix string
	bytes  int
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// Bytes reads a size in bytes from lo to hi, inclusive.
func (f *File) Bytes(section, key string, fallback, lo, hi int) int {
	allowed := fmt.Sprintf("must be a size from %d B to %d B, as in 64KiB", lo, hi)
	return read(f, section, key, fallback, allowed, func(s string) (int, bool) {
		for _, u := range byteUnits {
			digits, found := strings.CutSuffix(s, u.suffix)
			if !found {
				continue
			}
			n, err := strconv.Atoi(strings.TrimSpace(digits))
			return n * u.bytes, err == nil && n*u.bytes >= lo && n*u.bytes <= hi
		}
		return 0, false
	})
}

const addressAllowed = "must be an IP number and a port, as in 127.0.0.1:7000"

// Address reads an IP address with a port, which must be present.
func (f *File) Address(section, key string) string {
	f.Require(section, key, addressAllowed)
	return read(f, section, key, "", addressAllowed, func(s string) (string, bool) {
		return s, s == "" || ValidAddress(s)
	})
}

// ValidAddress reports whether s is an IP address with a port.
func ValidAddress(s string) bool {
	ip, port, err := net.SplitHostPort(s)
	if err != nil || net.ParseIP(ip) == nil {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n >= 0 && n <= 65_535
}

// URL reads an http or https URL without a path, which must be present.
func (f *File) URL(section, key string) string {
	const allowed = "must be an http or https URL without a path, as in http://127.0.0.1:7900"
	f.Require(section, key, allowed)
	return read(f, section, key, "", allowed, func(s string) (string, bool) {
		return s, s == "" || ValidURL(s)
	})
}

// ValidURL reports whether s is an http or https URL without a path.
func ValidURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.Path == ""
}

// Pair is a key of a section and its value.
type Pair struct{ Key, Value string }

// Pairs reads all keys of a section, in the order of the file. All of them count as known.
func (f *File) Pairs(section string) []Pair {
	if f.known[section] == nil {
		f.known[section] = make(map[string]bool)
	}
	if !f.ini.HasSection(section) {
		return nil
	}
	var out []Pair
	for _, k := range f.ini.Section(section).Keys() {
		f.known[section][k.Name()] = true
		out = append(out, Pair{Key: k.Name(), Value: strings.TrimSpace(k.String())})
	}
	return out
}
