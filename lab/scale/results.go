package scale

import (
	"encoding/json"
	"errors"
	"io"
	"io/fs"
	"os"

	"github.com/google/renameio/v2"
)

// Results are the measurements of one or more runs.
type Results struct {
	Points []*Point `json:"points"`
	Faults []*Fault `json:"faults,omitempty"`
	Trust  []Trust  `json:"trust,omitempty"`
	// Releases are the costs of configuration releases, by size.
	Releases      []*ReleaseCost `json:"releases,omitempty"`
	ReleasesLines []Line         `json:"releases_lines,omitempty"`
	Lines         []Line         `json:"lines,omitempty"` // of the points without made-up calls
	Busy          []Line         `json:"lines_with_calls,omitempty"`
}

// Read reads results; a file that is not there has none.
func Read(file string) (*Results, error) {
	r := &Results{}
	text, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return r, nil
	}
	if err != nil {
		return nil, err
	}
	return r, json.Unmarshal(text, r)
}

// Write writes results, fits included, whole or not at all.
func (r *Results) Write(file string) error {
	var quiet, busy []*Point
	for _, p := range r.Points {
		if p.Hollow.Members == 0 {
			continue
		}
		if p.Calls > 0 {
			busy = append(busy, p)
		} else {
			quiet = append(quiet, p)
		}
	}
	r.Lines, r.Busy = nil, nil
	if len(quiet) >= 3 {
		r.Lines = Lines(quiet)
	}
	if len(busy) >= 3 {
		r.Busy = Lines(busy)
	}
	if len(r.Releases) >= 3 {
		r.ReleasesLines = releaseLines(r.Releases)
	}
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return renameio.WriteFile(file, append(text, '\n'), 0o644)
}

// Has tells whether a size was measured already.
func (r *Results) Has(size, real int, calls, slow float64) bool {
	for _, p := range r.Points {
		reals := 0
		if p.Real != nil {
			reals = p.Real.Members
		}
		if p.Size == size && p.Calls == calls && p.Slow == slow && reals == real {
			return true
		}
	}
	return false
}

func writeTo(file string, from io.WriterTo) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	_, err = from.WriteTo(f)
	return errors.Join(err, f.Close())
}

// Trust holds a fleet of real members against one of the same size and load that is hollow. What a real process costs
// without knowing of others is no cost of control, and is taken off before.
type Trust struct {
	Size   int     `json:"size"`
	Real   Cost    `json:"real"`
	Plain  Cost    `json:"real_without_peers"`
	Hollow Cost    `json:"hollow"`
	Single Cost    `json:"hollow_one_a_process"`
	Bytes  float64 `json:"bytes_ratio"` // hollow over real
	Grams  float64 `json:"datagrams_ratio"`
	CPU    float64 `json:"cpu_ratio"` // hollow over real less plain
	CPU1   float64 `json:"cpu_ratio_one_a_process"`
	Memory float64 `json:"memory_ratio"` // hollow over real less plain
}

// NewTrust makes the ratios.
func NewTrust(size int, real, plain, hollow, single Cost) Trust {
	return Trust{Size: size, Real: real, Plain: plain, Hollow: hollow, Single: single,
		Bytes: hollow.SentWire / real.SentWire, Grams: hollow.SentDatagrams / real.SentDatagrams,
		CPU: hollow.CPU / (real.CPU - plain.CPU), CPU1: single.CPU / (real.CPU - plain.CPU), Memory: hollow.Resident / (real.Resident - plain.Resident)}
}
