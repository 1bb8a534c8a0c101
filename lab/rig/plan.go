package rig

import (
	_ "embed"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sort"
	"strings"
	"time"

	"masthill/internal/config"
)

// schema is the JSON schema of plan files.
//
//go:embed rig.schema.json
var schema []byte

const (
	// firstRandomFaultAt is when the first random fault begins.
	firstRandomFaultAt = 3 * time.Second
	// maxServerFaultDuration bounds the duration of a random fault of a server.
	maxServerFaultDuration = 4 * time.Second
	// recoveryTime is the least time from the end of a random fault of a process to its next one.
	recoveryTime = 4 * time.Second
)

// Plan describes a run: a fleet, its load and its faults.
type Plan struct {
	Instances      int           `toml:"instances"`
	Sites          int           `toml:"sites"`    // the instances are spread over them in turn
	Machines       int           `toml:"machines"` // as above; 0: each instance has its own
	Servers        int           `toml:"servers"`
	Voters         int           `toml:"keepers"` // the first instances
	PlannedRate    float64       `toml:"planned"` // calls per second
	LoadFactor     float64       `toml:"load"`    // as a multiple of PlannedRate
	Duration       time.Duration `toml:"for"`
	Budgets        bool          `toml:"budgets"`
	DetectOutliers bool          `toml:"judgements"`
	Shares         bool          `toml:"shares"`
	Term           time.Duration `toml:"term"`
	CrashInterval  time.Duration `toml:"cold_every"` // how often a server crashes and restarts; 0: never
	RandomFaults   int           `toml:"random"`     // how many faults are drawn from the seed, in addition to Faults
	Faults         []Fault       `toml:"fault"`
	QuietPeriod    time.Duration `toml:"quiet"` // at the end of the run, without random faults
}

// Fault is a temporary fault of some instances, their links or some servers.
type Fault struct {
	Kind     string        `toml:"kind" json:"kind"`
	At       time.Duration `toml:"at" json:"at"`
	Duration time.Duration `toml:"for" json:"for"`
	// Targets are the numbers of the instances or servers, from 0. Their meaning depends on Kind:
	//   - cut separates these instances from all others, flap does so for half of every second, between separates them from
	//     each other alone, and oneway keeps them from receiving what the others send;
	//   - halfopen has them accept connections and never serve them, and noise disturbs their links;
	//   - freeze pauses their processes, kill ends them, wipe ends them and empties their directories, oldcopy ends them and
	//     restores old copies of their directories, and restart restarts them by request;
	//   - silent and slow are faults of the servers of these numbers.
	Targets        []int         `toml:"who" json:"who"`
	Loss           float64       `toml:"loss" json:"loss,omitempty"`
	Duplicate      float64       `toml:"twice" json:"twice,omitempty"`
	Delay          time.Duration `toml:"delay" json:"delay,omitempty"`
	Jitter         time.Duration `toml:"jitter" json:"jitter,omitempty"`
	BytesPerSecond int           `toml:"bytes_per_s" json:"bytes_per_s,omitempty"`
	Slowdown       float64       `toml:"times" json:"times,omitempty"`
}

// faultKinds are the values of Fault.Kind.
var faultKinds = []string{"cut", "oneway", "flap", "noise", "halfopen", "between", "freeze", "kill", "wipe", "oldcopy", "restart", "silent", "slow"}

// Load reads a plan file. The error lists all errors of the file with their lines.
func Load(file string) (*Plan, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, string(text))
}

// Parse reads the text of a plan file.
func Parse(file, text string) (*Plan, error) {
	p := &Plan{}
	line, faults := config.DecodeTOML(file, text, schema, p)
	if len(faults) > 0 {
		return nil, faults
	}
	p.setDefaults()
	for k, f := range p.Faults {
		key := fmt.Sprintf("fault.%d", k)
		at := line(strings.Split(key, "."))
		for _, target := range f.Targets {
			if count := p.targetCount(f.Kind); target < 0 || target >= count {
				faults = append(faults, config.Fault{File: file, Line: at, Key: key + ".who",
					Text: fmt.Sprintf("%d is out of range: there are %d, numbered from 0", target, count)})
			}
		}
		if f.At+f.Duration > p.Duration {
			faults = append(faults, config.Fault{File: file, Line: at, Key: key + ".for",
				Text: fmt.Sprintf("the fault lasts until %v, but the run ends at %v", f.At+f.Duration, p.Duration)})
		}
	}
	if p.Voters > p.Instances || p.Voters%2 == 0 {
		faults = append(faults, config.Fault{File: file, Line: line([]string{"keepers"}), Key: "keepers",
			Text: fmt.Sprintf("%d: must be odd, and at most the number of instances, %d", p.Voters, p.Instances)})
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return p, nil
}

// targetCount is the number of instances or servers that a fault of the given kind may have as targets.
func (p *Plan) targetCount(kind string) int {
	if kind == "silent" || kind == "slow" {
		return p.Servers
	}
	return p.Instances
}

// setDefaults sets the values that are missing in the file.
func (p *Plan) setDefaults() {
	setDefault(&p.Instances, 12)
	setDefault(&p.Sites, 3)
	setDefault(&p.Servers, 4)
	setDefault(&p.Voters, 3)
	setDefault(&p.Duration, 60*time.Second)
	setDefault(&p.Term, 2*time.Second)
	setDefault(&p.PlannedRate, 66)
	setDefault(&p.LoadFactor, 0.9)
}

// setDefault sets a value that is zero to its default.
func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// drawFaults returns the faults of the file and random ones drawn from the seed, in the order of time.
func (p *Plan) drawFaults(seed uint64) []Fault {
	rng := rand.New(rand.NewPCG(seed, 0x706c616e))
	all := slices.Clone(p.Faults)
	span := p.Duration - p.QuietPeriod - firstRandomFaultAt
	busyUntil := map[int]time.Duration{} // by process, as each has one random fault at a time
	for n := range p.RandomFaults {
		f := Fault{
			At:       firstRandomFaultAt + span*time.Duration(n)/time.Duration(p.RandomFaults),
			Duration: time.Second + time.Duration(rng.Int64N(int64(9*time.Second))),
		}
		f.Duration = min(f.Duration, p.Duration-p.QuietPeriod-f.At)
		p.drawFault(rng, &f, busyUntil)
		if f.Duration > 0 && len(f.Targets) > 0 {
			all = append(all, f)
		}
	}
	sort.SliceStable(all, func(a, b int) bool { return all[a].At < all[b].At })
	return all
}

// drawFault draws the kind of a fault, its targets and its parameters.
func (p *Plan) drawFault(rng *rand.Rand, f *Fault, busyUntil map[int]time.Duration) {
	f.Kind = faultKinds[rng.IntN(len(faultKinds))]
	switch f.Kind {
	case "cut", "oneway", "flap", "between":
		f.Targets = drawTargets(rng, p.Instances, p.Instances/2)
	case "halfopen":
		f.Targets = drawTargets(rng, p.Instances, 3)
	case "noise":
		f.Targets = drawTargets(rng, p.Instances, p.Instances)
		f.Loss = rng.Float64() * 0.4
		f.Duplicate = rng.Float64() * 0.2
		f.Delay = time.Duration(rng.Int64N(int64(200 * time.Millisecond)))
		f.Jitter = time.Duration(rng.Int64N(int64(time.Second)))
		f.BytesPerSecond = 20_000 + rng.IntN(100_000)
	case "silent", "slow":
		f.Targets = drawTargets(rng, p.Servers, 1)
		f.Duration, f.Slowdown = min(f.Duration, maxServerFaultDuration), 2
	default:
		f.Targets = drawTargets(rng, p.Instances, 3)
		f.Targets = slices.DeleteFunc(f.Targets, func(k int) bool { return busyUntil[k] > f.At })
		for _, k := range f.Targets {
			busyUntil[k] = f.At + f.Duration + recoveryTime
		}
	}
}

// drawTargets draws between one and limit numbers below count, in order.
func drawTargets(rng *rand.Rand, count, limit int) []int {
	targets := rng.Perm(count)[:1+rng.IntN(max(min(limit, count), 1))]
	sort.Ints(targets)
	return targets
}
