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

// Schema is the form of a rig's file.
//
//go:embed rig.schema.json
var schema []byte

// Plan is what is played: a fleet, its load, and what goes wrong.
type Plan struct {
	Instances  int           `toml:"instances"`
	Sites      int           `toml:"sites"`    // instances are spread over them in turn
	Machines   int           `toml:"machines"` // and over these; 0: each has its own
	Servers    int           `toml:"servers"`
	Keepers    int           `toml:"keepers"` // the first instances
	Planned    float64       `toml:"planned"` // calls a second
	Load       float64       `toml:"load"`    // of those
	For        time.Duration `toml:"for"`
	Budgets    bool          `toml:"budgets"`
	Judgements bool          `toml:"judgements"`
	Shares     bool          `toml:"shares"`
	Term       time.Duration `toml:"term"`
	Cold       time.Duration `toml:"cold_every"` // a server crashes and starts again so often; 0: never
	Random     int           `toml:"random"`     // faults drawn from the seed, beside those below
	Faults     []Fault       `toml:"fault"`
	Quiet      time.Duration `toml:"quiet"` // at the end, without random faults
}

// Fault is one thing that goes wrong, for a while. Instances are named by their numbers.
type Fault struct {
	Kind string        `toml:"kind" json:"kind"`
	At   time.Duration `toml:"at" json:"at"`
	For  time.Duration `toml:"for" json:"for"`
	// Who is struck. A cut parts these from all others, oneway keeps them from hearing the others, flap is a cut for half of
	// every second, between cuts them from each other alone. freeze, kill, wipe (with its folder), oldcopy (with an old copy of its folder) and restart strike the
	// processes, silent and slow the servers of these numbers.
	Who    []int         `toml:"who" json:"who"`
	Loss   float64       `toml:"loss" json:"loss,omitempty"`
	Twice  float64       `toml:"twice" json:"twice,omitempty"`
	Delay  time.Duration `toml:"delay" json:"delay,omitempty"`
	Jitter time.Duration `toml:"jitter" json:"jitter,omitempty"`
	PerSec int           `toml:"bytes_per_s" json:"bytes_per_s,omitempty"`
	Times  float64       `toml:"times" json:"times,omitempty"`
}

// Kinds of fault.
var kinds = []string{"cut", "oneway", "flap", "noise", "halfopen", "between", "freeze", "kill", "wipe", "oldcopy", "restart", "silent", "slow"}

// Load reads a rig's file; the error names each fault of it with its line.
func Load(file string) (*Plan, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, string(text))
}

// Parse reads the text of a rig's file.
func Parse(file, text string) (*Plan, error) {
	p := &Plan{}
	line, faults := config.DecodeTOML(file, text, schema, p)
	if len(faults) > 0 {
		return nil, faults
	}
	p.defaults()
	for k, f := range p.Faults {
		key := fmt.Sprintf("fault.%d", k)
		for _, who := range f.Who {
			if most := p.count(f.Kind); who < 0 || who >= most {
				faults = append(faults, config.Fault{File: file, Line: line(strings.Split(key, ".")), Key: key + ".who",
					Text: fmt.Sprintf("%d: there are %d, from 0", who, most)})
			}
		}
		if f.At+f.For > p.For {
			faults = append(faults, config.Fault{File: file, Line: line(strings.Split(key, ".")), Key: key + ".for",
				Text: fmt.Sprintf("it lasts until %v, and the run %v", f.At+f.For, p.For)})
		}
	}
	if p.Keepers > p.Instances || p.Keepers%2 == 0 {
		faults = append(faults, config.Fault{File: file, Line: line([]string{"keepers"}), Key: "keepers", Text: fmt.Sprintf("%d: an odd number, of %d instances", p.Keepers, p.Instances)})
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return p, nil
}

// count is how many there are that a kind of fault can strike.
func (p *Plan) count(kind string) int {
	if kind == "silent" || kind == "slow" {
		return p.Servers
	}
	return p.Instances
}

func (p *Plan) defaults() {
	set := func(x *int, d int) {
		if *x == 0 {
			*x = d
		}
	}
	set(&p.Instances, 12)
	set(&p.Sites, 3)
	set(&p.Servers, 4)
	set(&p.Keepers, 3)
	for _, d := range []struct {
		at *time.Duration
		d  time.Duration
	}{{&p.For, 60 * time.Second}, {&p.Term, 2 * time.Second}} {
		if *d.at == 0 {
			*d.at = d.d
		}
	}
	if p.Planned == 0 {
		p.Planned = 66
	}
	if p.Load == 0 {
		p.Load = 0.9
	}
}

// draw gives the faults of a seed, those of the file among them, in their order.
func (p *Plan) draw(seed uint64) []Fault {
	rng := rand.New(rand.NewPCG(seed, 0x706c616e))
	all := slices.Clone(p.Faults)
	room := p.For - p.Quiet - 3*time.Second
	some := func(of, most int) []int {
		who := rng.Perm(of)[:1+rng.IntN(max(min(most, of), 1))]
		sort.Ints(who)
		return who
	}
	busy := map[int]time.Duration{} // a process is struck by one thing at a time
	for n := range p.Random {
		f := Fault{At: 3*time.Second + room*time.Duration(n)/time.Duration(p.Random), For: time.Second + time.Duration(rng.Int64N(int64(9*time.Second)))}
		f.For = min(f.For, p.For-p.Quiet-f.At)
		f.Kind = kinds[rng.IntN(len(kinds))]
		switch f.Kind {
		case "cut", "oneway", "flap", "between":
			f.Who = some(p.Instances, p.Instances/2)
		case "halfopen":
			f.Who = some(p.Instances, 3)
		case "noise":
			f.Who = some(p.Instances, p.Instances)
			f.Loss, f.Twice = rng.Float64()*0.4, rng.Float64()*0.2
			f.Delay, f.Jitter = time.Duration(rng.Int64N(int64(200*time.Millisecond))), time.Duration(rng.Int64N(int64(time.Second)))
			f.PerSec = 20_000 + rng.IntN(100_000)
		case "silent", "slow":
			f.Who = some(p.Servers, 1)
			f.For, f.Times = min(f.For, 4*time.Second), 2
		default:
			f.Who = slices.DeleteFunc(some(p.Instances, 3), func(k int) bool { return busy[k] > f.At })
			for _, k := range f.Who {
				busy[k] = f.At + f.For + 4*time.Second
			}
		}
		if f.For > 0 && len(f.Who) > 0 {
			all = append(all, f)
		}
	}
	sort.SliceStable(all, func(a, b int) bool { return all[a].At < all[b].At })
	return all
}
