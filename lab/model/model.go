package model

import (
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"runtime"
	"sort"
	"time"

	"masthill/control"
	"masthill/control/join"
	"masthill/control/shares"
	"masthill/internal/exchange"
	"masthill/lab/check"
	"masthill/lab/processor"
)

// Scenario is what is played. Zero figures have the brief's.
type Scenario struct {
	Seed        uint64
	Controllers int
	Servers     int
	Planned     float64 // calls a second that the servers are planned for; 0: 22 for each server
	Load        float64 // of the planned load
	Duration    time.Duration
	RateFactor  func(at time.Duration) float64 // times the load; nil: 1
	Faults      []Fault
	Flood       *Flood
	ListDelay   [2]time.Duration // how late each controller hears of a change
	Redials     int
	QueueOrder  processor.QueueOrder // the order of work at the servers
	DropAnswers bool                 // a call that is given up takes its pending answer with it
	// Join makes the decision modules of a controller that starts at a time; nil: none.
	Join func(s control.Settings, planned float64, seed uint64, now int64) join.Chain
	// PeerCut tells whether what one controller says to another gets lost; nil: it never does. PeerBytes has what is said
	// measured, which takes time.
	PeersPartitioned func(at time.Duration, from, to int) bool
	PeerBytes        bool
	// Liar is a controller, counted from 1, that tells the others all the time that every server is dead; 0: none.
	FalseReporter int
	// Skew is the spread of the controllers' shares of the traffic, as the standard deviation of their logarithms; 0: alike.
	Skew float64
	// WatchCold counts what servers get while they are cold, and has none of them fall over.
	TrackColdStarts bool
	// Look, if any, is called once a simulated second with what the controllers tell.
	OnStatus func(at time.Duration, all []exchange.Status)
}

// Trouble is one thing that goes wrong.
type Fault struct {
	Kind      string // replace, crash, down, slow, silent, cut, restarts, kill, late, lossy, shift
	At        time.Duration
	Duration  time.Duration // restarts and replace: until the last of them begins
	Share     float64       // of the servers (one at least); restarts and kill: of the controllers; lossy: of the answers
	Batch     float64       // restarts: of the controllers, at a time
	Magnitude float64       // slow: so many times slower; late: so many seconds later
}

// Flood is one member's callers calling far beyond its share, beside the usual calls.
type Flood struct {
	Tenant       string
	At, Duration time.Duration
	Load         float64 // of the planned load of all
}

// Result is what a run showed.
type Result struct {
	Seed                 uint64      `json:"seed"`
	Controllers          int         `json:"controllers"`
	Servers              int         `json:"servers"`
	Calls                int         `json:"calls"`
	Tries                int         `json:"tries"`
	ServedShare          float64     `json:"served_share"`
	LateShare            float64     `json:"late_share"` // calls that stood after their aim
	CutCalls             int         `json:"cut"`
	FellOver             bool        `json:"fell_over"`
	MaxColdWaitMS        float64     `json:"cold_wait_max_ms"` // at a server that started during the run
	RefusalPointMS       float64     `json:"refusal_point_ms"`
	UtilizationAtPlan    float64     `json:"use_at_plan"` // part of the processors' time that the planned load takes
	RefusedByServers     int         `json:"refused_by_servers"`
	Restarts             int         `json:"restarts"`
	SendsToSilentServers []int       `json:"set_ups_to_silent_servers_by_s,omitempty"` // since they went silent
	PeerSent             int64       `json:"peer_messages,omitempty"`                  // between controllers, counted at each receiver
	PeerBytes            int64       `json:"peer_bytes,omitempty"`                     // of what was said, each message once
	ColdStarts           []ColdStart `json:"cold_starts,omitempty"`
	check.Violations
	Events          uint64             `json:"events"`
	EventsPerSecond float64            `json:"events_per_s"`  // of real time
	MemoryKB        float64            `json:"controller_kb"` // heap at the end, over the controllers
	RealSeconds     float64            `json:"real_s"`
	ServedByTenant  map[string]float64 `json:"served_by_tenant"`
	ServedInFlood   map[string]float64 `json:"served_in_flood_by_tenant,omitempty"`
	ServedBySecond  []float64          `json:"served_by_second"`
	OfferedBySecond []int              `json:"offered_by_second"`
}

// Late is the worth of a call that stands after its aim.
const LateValue = 0.25

const (
	aim, deadline = int64(1200e6), int64(9e9)
	late          = LateValue
	hold          = int64(9e9)
	reportEvery   = int64(300e6)
	circuits      = 1000
)

var tenants = []struct {
	name  string
	share float64
}{{"slaney-vines", 0.55}, {"barrow-estate", 0.33}, {"suir-growers", 0.12}}

// Tenants are the members with their fractions, as the model's callers call.
func Tenants() (all []shares.Tenant) {
	for _, t := range tenants {
		all = append(all, shares.Tenant{Name: t.name, Fraction: t.share})
	}
	return all
}

type model struct {
	clock
	Scenario
	params               processor.Params
	ledger               *check.Ledger
	servers              []*server // all that ever were
	listed               []*server // by cell, as they are now
	controllers          []*controller
	rng                  *rand.Rand // of the callers
	callers              map[string]*caller
	ids                  uint64
	all                  []*caller
	restarts             int
	cutUntil             []int64 // by cell: nothing passes to and from it before
	use                  float64 // part of the processors' time that the planned load takes
	lossy                float64 // part of the answers that get lost now
	discard              *slog.Logger
	silentSends          []int     // by second since a server went silent: set-ups sent there
	peerSent             int64     // messages between controllers, by receiver
	peerBytes            int64     // in each message once
	traffic              []float64 // by controller: its part of the calls and those before it, with a skew
	coldWatches          []*coldWatch
	fallMultiple         float64
	fallWindow, coldSpan int64
}

// Run plays a scenario.
func Run(sc Scenario) (*Result, error) {
	if sc.Planned == 0 {
		sc.Planned = 22 * float64(sc.Servers)
	}
	if sc.Load == 0 {
		sc.Load = 0.92
	}
	if sc.ListDelay[1] == 0 {
		sc.ListDelay = [2]time.Duration{500 * time.Millisecond, 3 * time.Second}
	}
	real := time.Now()
	site := stream(sc.Seed, streamSite, 0)
	use := 0.72 + site.Float64()*0.15
	work := use * float64(sc.Servers) / sc.Planned * 1e9
	follow := 0.25 + site.Float64()*0.25
	setup := work / (1 + follow)
	refuse := int64(2100+site.IntN(1500)) * 1e6
	m := &model{clock: clock{now: start}, Scenario: sc, ledger: check.New(check.Rules{ReleaseWait: 300 * time.Millisecond, DrainGrace: time.Second}),
		rng: stream(sc.Seed, streamCallers, 0), callers: map[string]*caller{}, discard: slog.New(slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.Level(100)})),
		params: processor.Params{SetUp: int64(setup), Answer: int64(setup * follow / 2), Release: int64(setup * follow / 2), Reject: int64(setup * 0.2), RefusalWait: refuse,
			ColdFrom: 0.31, ColdSpan: 15e9, FallMultiple: 2, FallWindow: 1e9,
			QueueOrder: sc.QueueOrder, DropAnswers: sc.DropAnswers}}
	m.use = use
	m.fallMultiple, m.fallWindow, m.coldSpan = m.params.FallMultiple, m.params.FallWindow, m.params.ColdSpan
	if sc.TrackColdStarts {
		m.params.FallMultiple = math.MaxFloat64
	}
	m.shareTraffic()
	m.cutUntil = make([]int64, sc.Servers)
	for cell := range sc.Servers {
		s := m.newServer(cell, 0)
		m.listed = append(m.listed, s)
	}
	for n := range sc.Controllers {
		c := &controller{m: m, n: n, rng: stream(sc.Seed, streamController, n)}
		for range sc.Servers {
			c.way = append(c.way, int64(9.7e6+c.rng.Float64()*15.3e6))
		}
		m.controllers = append(m.controllers, c)
		if err := c.up(); err != nil {
			return nil, err
		}
	}
	for k, t := range sc.Faults {
		m.trouble(t, stream(sc.Seed, streamTrouble, k))
	}
	m.after(1, m.arrivals)
	if f := sc.Flood; f != nil {
		m.after(int64(f.At), m.flood)
	}
	if sc.OnStatus != nil {
		m.after(1e9, m.look)
	}
	m.run(start + int64(sc.Duration))
	end := m.now
	m.run(end + deadline) // what is open still has its answer; nothing new comes
	return m.result(time.Since(real)), nil
}

// arrivals plans the next caller.
func (m *model) arrivals() {
	at := time.Duration(m.now - start)
	if at >= m.Duration {
		return
	}
	rate := m.Load * m.Planned
	if m.RateFactor != nil {
		rate *= m.RateFactor(at)
	}
	m.caller()
	m.after(int64(m.rng.ExpFloat64()/max(rate, 1e-3)*1e9), m.arrivals)
}

// flood plans the next call of a flood.
func (m *model) flood() {
	f := m.Flood
	if at := time.Duration(m.now - start); at >= f.At+f.Duration || at >= m.Duration {
		return
	}
	m.caller().tenant = f.Tenant
	m.after(int64(m.rng.ExpFloat64()/(f.Load*m.Planned)*1e9), m.flood)
}

func (m *model) look() {
	at := time.Duration(m.now - start)
	var all []exchange.Status
	for _, c := range m.controllers {
		if c.x != nil {
			all = append(all, c.x.StatusDirect())
		}
	}
	m.OnStatus(at, all)
	if at < m.Duration {
		m.after(1e9, m.look)
	}
}

// settings are the platform's, for controller n.
func (m *model) settings(n int) control.Settings {
	cells := make([]int, m.Servers)
	for c := range cells {
		cells[c] = c
	}
	return control.Settings{GroupSize: m.Controllers, Ordinal: n, ThisNode: -1, MaxAttempts: 4, MayCancel: true, RetryAfter: true,
		MaxRetryAfter: 2e9, Fields: []string{"spare", "total", "cpu", "waiting"}, Resolution: 5e6, ClearWait: 300e6, DrainGrace: 1e9,
		FallMultiple: 2, FallWindow: 1e9, ColdFrom: 0.31, ColdSpan: 15e9,
		Classes: []control.Class{{Aim: aim, Deadline: deadline, Worth: 1, LateValue: late, Cells: cells}}}
}

// office is the list's entry of a server.
func (s *server) office(state control.EntryState) exchange.Office {
	return exchange.Office{Entry: control.Entry{Cell: s.cell, Share: 1, Server: s.id, ReadyAt: s.ready, State: state}, Addr: fmt.Sprint(s.id)}
}

// tell has every controller hear of a change, each late in its own way.
func (m *model) tell(s *server, state control.EntryState) {
	o := s.office(state)
	for _, c := range m.controllers {
		wait := int64(m.ListDelay[0]) + c.rng.Int64N(int64(m.ListDelay[1]-m.ListDelay[0])+1)
		at := max(m.now+wait, c.heardAt) // in order
		c.heardAt = at
		m.at(at, func() { c.hear(o) })
	}
}

// The list's service notices after these times that a process has gone, or that one is silent (the site file's figures).
var (
	downNoticed   = [2]time.Duration{1200 * time.Millisecond, 3600 * time.Millisecond}
	silentNoticed = [2]time.Duration{4400 * time.Millisecond, 12 * time.Second}
)

// noticed has the list tell that a server is away, unless it is back before that shows.
func (m *model) noticed(s *server, t Fault, within [2]time.Duration, rng *rand.Rand) {
	if wait := within[0] + time.Duration(rng.Int64N(int64(within[1]-within[0]))); wait < t.Duration {
		m.after(int64(wait), func() { m.tell(s, control.Removed) })
	}
}

// trouble plans one trouble.
func (m *model) trouble(t Fault, rng *rand.Rand) {
	struck := max(int(t.Share*float64(m.Servers)+0.5), 1)
	m.at(start+int64(t.At), func() {
		switch t.Kind {
		case "replace":
			for k, cell := range rng.Perm(m.Servers)[:struck] {
				m.after(int64(t.Duration)*int64(k)/int64(struck), func() {
					old, s := m.listed[cell], m.newServer(cell, m.now)
					m.listed[cell] = s
					old.drains = true
					m.tell(old, control.Draining)
					m.tell(s, control.Serving)
					m.after(11e9, func() { old.stop(); m.tell(old, control.Removed) })
				})
			}
		case "down": // its process is away for a while, and begins anew
			for _, cell := range rng.Perm(m.Servers)[:struck] {
				s := m.listed[cell]
				s.stop()
				m.noticed(s, t, downNoticed, rng)
				m.after(int64(t.Duration), func() {
					s.gone = false
					s.crash()
					m.tell(s, control.Serving)
				})
			}
		case "cut": // what is on its way to them and from them comes when it is over
			for _, cell := range rng.Perm(m.Servers)[:struck] {
				m.cutUntil[cell] = m.now + int64(t.Duration)
			}
		case "kill":
			for _, n := range rng.Perm(m.Controllers)[:int(t.Share*float64(m.Controllers)+0.5)] {
				m.controllers[n].kill(int64(200e6 + rng.Float64()*1.3e9))
			}
		case "late":
			usual, more := m.ListDelay, time.Duration(t.Magnitude*1e9)
			m.ListDelay = [2]time.Duration{usual[0] + more, usual[1] + more}
			m.after(int64(t.Duration), func() { m.ListDelay = usual })
		case "shift":
			m.shareTraffic()
		case "lossy":
			m.lossy = t.Share
			m.after(int64(t.Duration), func() { m.lossy = 0 })
		case "crash":
			for _, cell := range rng.Perm(m.Servers)[:struck] {
				s := m.listed[cell]
				s.crash()
				m.tell(s, control.Serving)
			}
		case "slow", "silent":
			for _, cell := range rng.Perm(m.Servers)[:struck] {
				s := m.listed[cell]
				set := func(on bool) {
					if t.Kind == "silent" {
						s.done(s.proc.SetSilent(m.now, on))
						if s.silentAt = 0; on {
							s.silentAt = m.now
						}
						if s.cold = s.cold || !on; on {
							m.noticed(s, t, silentNoticed, rng)
						} else {
							s.ready = m.now
							m.tell(s, control.Serving)
						}
					} else if on {
						s.done(s.proc.SetSlowdown(m.now, t.Magnitude))
					} else {
						s.done(s.proc.SetSlowdown(m.now, 1))
					}
					s.wake()
				}
				set(true)
				m.after(int64(t.Duration), func() { set(false) })
			}
		case "restarts":
			order := rng.Perm(m.Controllers)[:int(t.Share*float64(m.Controllers)+0.5)]
			batch := max(int(t.Batch*float64(m.Controllers)), 1)
			batches := max((len(order)+batch-1)/batch, 1)
			for k, n := range order {
				down := int64(200e6 + rng.Float64()*1.3e9)
				m.after(int64(t.Duration)*int64(k/batch)/int64(batches), func() { m.controllers[n].restart(down) })
			}
		}
	})
}

func (m *model) result(real time.Duration) *Result {
	r := &Result{Seed: m.Seed, Controllers: m.Controllers, Servers: m.Servers, Calls: len(m.all), Events: m.events, RealSeconds: real.Seconds(),
		EventsPerSecond: float64(m.events) / real.Seconds(), RefusalPointMS: float64(m.params.RefusalWait) / 1e6, UtilizationAtPlan: m.use, Restarts: m.restarts, SendsToSilentServers: m.silentSends, PeerSent: m.peerSent, PeerBytes: m.peerBytes, ServedByTenant: map[string]float64{}}
	r.Violations, _, _ = m.ledger.Result()
	seconds := int(m.Duration/time.Second) + 1
	r.ServedBySecond, r.OfferedBySecond = make([]float64, seconds), make([]int, seconds)
	of := map[string]float64{}
	lateCalls := 0
	for _, c := range m.all {
		w := c.worth()
		r.ServedShare += w
		r.Tries += c.tries
		if c.cut {
			r.CutCalls++
		}
		if c.stoodAt > 0 && c.stoodAt-c.first > aim {
			lateCalls++
		}
		of[c.tenant]++
		r.ServedByTenant[c.tenant] += w
		k := int((c.first - start) / 1e9)
		r.ServedBySecond[k] += w
		r.OfferedBySecond[k]++
	}
	n := float64(max(len(m.all), 1))
	r.ServedShare, r.LateShare = r.ServedShare/n, float64(lateCalls)/n
	for name := range r.ServedByTenant {
		r.ServedByTenant[name] /= of[name]
	}
	if f := m.Flood; f != nil {
		r.ServedInFlood = map[string]float64{}
		n := map[string]float64{}
		for _, c := range m.all {
			if at := time.Duration(c.first - start); at >= f.At && at < f.At+f.Duration {
				r.ServedInFlood[c.tenant] += c.worth()
				n[c.tenant]++
			}
		}
		for name := range r.ServedInFlood {
			r.ServedInFlood[name] /= n[name]
		}
	}
	for k := range r.ServedBySecond {
		r.ServedBySecond[k] /= float64(max(r.OfferedBySecond[k], 1))
	}
	for _, s := range m.servers {
		r.FellOver = r.FellOver || s.proc.FellOver()
		_, refused := s.proc.Counts()
		r.RefusedByServers += refused
		if s.cold {
			r.MaxColdWaitMS = max(r.MaxColdWaitMS, float64(s.proc.MaxWait())/1e6)
		}
	}
	for _, w := range m.coldWatches {
		r.ColdStarts = append(r.ColdStarts, w.ColdStart)
	}
	var mem runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&mem)
	r.MemoryKB = float64(mem.HeapAlloc) / 1024 / float64(max(m.Controllers, 1))
	return r
}

// byName is a deterministic order of a map's keys.
func byName[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
