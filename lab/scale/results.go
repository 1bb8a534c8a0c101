package scale

import (
	"encoding/json"
	"errors"
	"io"
	"io/fs"
	"os"

	"github.com/google/renameio/v2"
)

// Results holds the measurements of one or more runs.
type Results struct {
	Points      []*Point     `json:"points"`
	Faults      []*Fault     `json:"faults,omitempty"`
	Comparisons []Comparison `json:"trust,omitempty"`
	// Releases holds the costs of distributing configuration releases, by size.
	Releases       []*ReleaseCost `json:"releases,omitempty"`
	ReleasesLines  []Line         `json:"releases_lines,omitempty"`
	Lines          []Line         `json:"lines,omitempty"` // fitted to the points without synthetic calls
	LinesWithCalls []Line         `json:"lines_with_calls,omitempty"`
}

// ReadResults reads results from a file; they are empty if it does not exist.
func ReadResults(file string) (*Results, error) {
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

// Write computes the fits and writes all results to a file atomically.
func (r *Results) Write(file string) error {
	var quiet, busy []*Point
	for _, p := range r.Points {
		if p.Hollow.Members == 0 {
			continue
		}
		if p.SyntheticCalls > 0 {
			busy = append(busy, p)
		} else {
			quiet = append(quiet, p)
		}
	}
	r.Lines, r.LinesWithCalls = nil, nil
	if len(quiet) >= 3 {
		r.Lines = FitCosts(quiet)
	}
	if len(busy) >= 3 {
		r.LinesWithCalls = FitCosts(busy)
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

// Has tells whether a fleet of this size, load and clock was measured already.
func (r *Results) Has(size, real int, calls, slow float64) bool {
	for _, p := range r.Points {
		reals := 0
		if p.Real != nil {
			reals = p.Real.Members
		}
		if p.Size == size && p.SyntheticCalls == calls && p.ClockSlowdown == slow && reals == real {
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

// Comparison compares a fleet of real members with a hollow one of the same size and load. The processor time and memory of
// a real process without peers are not costs of control, and are subtracted first.
type Comparison struct {
	Size            int     `json:"size"`
	Real            Cost    `json:"real"`
	WithoutPeers    Cost    `json:"real_without_peers"`
	Hollow          Cost    `json:"hollow"`
	SingleMember    Cost    `json:"hollow_one_a_process"`
	Bytes           float64 `json:"bytes_ratio"` // hollow / real
	Datagrams       float64 `json:"datagrams_ratio"`
	CPU             float64 `json:"cpu_ratio"` // hollow / (real - without peers)
	CPUSingleMember float64 `json:"cpu_ratio_one_a_process"`
	Memory          float64 `json:"memory_ratio"` // hollow / (real - without peers)
}

// Compare computes the ratios of a comparison.
func Compare(size int, real, plain, hollow, single Cost) Comparison {
	return Comparison{Size: size, Real: real, WithoutPeers: plain, Hollow: hollow, SingleMember: single,
		Bytes: hollow.SentWire / real.SentWire, Datagrams: hollow.SentDatagrams / real.SentDatagrams,
		CPU: hollow.CPU / (real.CPU - plain.CPU), CPUSingleMember: single.CPU / (real.CPU - plain.CPU), Memory: hollow.Resident / (real.Resident - plain.Resident)}
}
