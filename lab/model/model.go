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

// Scenario describes a run. Planned, Load and ListDelay have defaults where they are zero.
type Scenario struct {
	Seed        uint64
	Controllers int
	Servers     int
	Planned     float64 // calls per second that all servers together are planned for; 0: 22 for each server
	Load        float64 // share of the planned load that callers offer; 0: 0.92
	Duration    time.Duration
	RateFactor  func(at time.Duration) float64 // multiplies the load; nil: 1
	Faults      []Fault
	Flood       *Flood
	ListDelay   [2]time.Duration // range of the delay until a controller learns of a change; zero: 0.5 to 3 s
	Redials     int
	QueueOrder  processor.QueueOrder // order in which servers do their work
	DropAnswers bool                 // canceling a call also removes its queued answer
	// Join makes the decision modules of a controller that starts at now; nil: none.
	Join func(s control.Settings, planned float64, seed uint64, now int64) join.Chain
	// PeersPartitioned tells whether messages from one controller to another are lost; nil: none are. PeerBytes has the
	// messages encoded to count their bytes, which slows the run down.
	PeersPartitioned func(at time.Duration, from, to int) bool
	PeerBytes        bool
	// FalseReporter is a controller, counted from 1, that keeps reporting to the others that every server is dead; 0:
	// none.
	FalseReporter int
	// Skew is the spread of the controllers' shares of the traffic, as the standard deviation of their logarithms; 0: all
	// shares are equal.
	Skew float64
	// TrackColdStarts records the load on servers while they are cold, and keeps them from falling over.
	TrackColdStarts bool
	// OnStatus, if not nil, is called once per simulated second with the status of all running controllers.
	OnStatus func(at time.Duration, all []exchange.Status)
}

// Fault is one fault injected into a run.
type Fault struct {
	Kind      string // replace, crash, down, slow, silent, cut, restarts, kill, late, lossy, shift
	At        time.Duration
	Duration  time.Duration // restarts and replace: the span within which all of them begin
	Share     float64       // of the servers (at least one); restarts and kill: of the controllers; lossy: of the answers
	Batch     float64       // restarts: share of the controllers that restart at a time
	Magnitude float64       // slow: how many times slower; late: delay added to list changes, in seconds
}

// Flood is additional calls of one tenant, far beyond its share.
type Flood struct {
	Tenant       string
	At, Duration time.Duration
	Load         float64 // share of the planned load of all tenants
}

// Result is the outcome of a run.
type Result struct {
	Seed                 uint64      `json:"seed"`
	Controllers          int         `json:"controllers"`
	Servers              int         `json:"servers"`
	Calls                int         `json:"calls"`
	Tries                int         `json:"tries"`
	ServedShare          float64     `json:"served_share"`
	LateShare            float64     `json:"late_share"` // share of the calls that were established after the target delay
	CutCalls             int         `json:"cut"`
	FellOver             bool        `json:"fell_over"`
	MaxColdWaitMS        float64     `json:"cold_wait_max_ms"` // greatest wait for a set-up at a server that started during the run
	RefusalPointMS       float64     `json:"refusal_point_ms"`
	UtilizationAtPlan    float64     `json:"use_at_plan"` // share of the processors' time that the planned load takes
	RefusedByServers     int         `json:"refused_by_servers"`
	Restarts             int         `json:"restarts"`
	SendsToSilentServers []int       `json:"set_ups_to_silent_servers_by_s,omitempty"` // by second since they went silent
	PeerSent             int64       `json:"peer_messages,omitempty"`                  // messages between controllers, counted once for each receiver
	PeerBytes            int64       `json:"peer_bytes,omitempty"`                     // of these messages, each message counted once
	ColdStarts           []ColdStart `json:"cold_starts,omitempty"`
	check.Violations
	Events          uint64             `json:"events"`
	EventsPerSecond float64            `json:"events_per_s"`  // per second of real time
	MemoryKB        float64            `json:"controller_kb"` // heap at the end, divided by the number of controllers
	RealSeconds     float64            `json:"real_s"`
	ServedByTenant  map[string]float64 `json:"served_by_tenant"`
	ServedInFlood   map[string]float64 `json:"served_in_flood_by_tenant,omitempty"`
	ServedBySecond  []float64          `json:"served_by_second"`
	OfferedBySecond []int              `json:"offered_by_second"`
}

// LateValue is the value of a call that is established after the target delay.
const LateValue = 0.25

// Times in nanoseconds, and figures that all calls and servers have in common.
const (
	targetDelay, deadline = int64(1200e6), int64(9e9)
	lateValue             = LateValue
	meanCallLength        = int64(9e9)
	reportInterval        = int64(300e6)
	circuitsPerServer     = 1000
)

// tenants are the tenants with their shares of the calls. Callers draw in this order.
var tenants = []struct {
	name  string
	share float64
}{{"slaney-vines", 0.55}, {"barrow-estate", 0.33}, {"suir-growers", 0.12}}

// Tenants are the tenants with their fractions of the calls.
func Tenants() (all []shares.Tenant) {
	for _, t := range tenants {
		all = append(all, shares.Tenant{Name: t.name, Fraction: t.share})
	}
	return all
}

// model is the state of a run.
type model struct {
	clock
	Scenario
	params                  processor.Params
	ledger                  *check.Ledger
	servers                 []*server // all that ever ran, by ID from 0x1000
	current                 []*server // the present server of each cell
	controllers             []*controller
	rng                     *rand.Rand         // of the callers and the traffic shares
	callers                 map[string]*caller // by ID of the current try
	lastID                  uint64
	allCallers              []*caller
	restarts                int
	unreachableUntil        []int64 // by cell: nothing reaches or leaves it before
	utilization             float64 // share of the processors' time that the planned load takes
	answerLoss              float64 // present probability that an answer is lost
	logger                  *slog.Logger
	sendsToSilent           []int     // set-ups sent to silent servers, by second since the server went silent
	peerMessages            int64     // messages between controllers, counted once for each receiver
	peerBytes               int64     // of these messages, each message counted once
	cumulativeTraffic       []float64 // cumulative traffic shares of the controllers; nil: equal shares
	coldStarts              []*coldStartTracker
	crashMultiple           float64
	crashWindow, warmUpTime int64
}

// Run runs a scenario to its end and gives the result.
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
	wallStart := time.Now()
	siteRNG := randomStream(sc.Seed, streamSite, 0)
	utilization := 0.72 + siteRNG.Float64()*0.15
	work := utilization * float64(sc.Servers) / sc.Planned * 1e9
	followShare := 0.25 + siteRNG.Float64()*0.25
	setUpWork := work / (1 + followShare)
	refusalWait := int64(2100+siteRNG.IntN(1500)) * 1e6
	m := &model{clock: clock{now: start}, Scenario: sc, ledger: check.New(check.Rules{ReleaseWait: 300 * time.Millisecond, DrainGrace: time.Second}),
		rng: randomStream(sc.Seed, streamCallers, 0), callers: map[string]*caller{}, logger: slog.New(slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.Level(100)})),
		params: processor.Params{SetUp: int64(setUpWork), Answer: int64(setUpWork * followShare / 2), Release: int64(setUpWork * followShare / 2), Reject: int64(setUpWork * 0.2), RefusalWait: refusalWait,
			ColdFraction: 0.31, WarmUpTime: 15e9, CrashMultiple: 2, CrashWindow: 1e9,
			QueueOrder: sc.QueueOrder, DropAnswers: sc.DropAnswers}}
	m.utilization = utilization
	m.crashMultiple, m.crashWindow, m.warmUpTime = m.params.CrashMultiple, m.params.CrashWindow, m.params.WarmUpTime
	if sc.TrackColdStarts {
		m.params.CrashMultiple = math.MaxFloat64
	}
	m.drawTrafficShares()
	m.unreachableUntil = make([]int64, sc.Servers)
	for cell := range sc.Servers {
		s := m.newServer(cell, 0)
		m.current = append(m.current, s)
	}
	for n := range sc.Controllers {
		c := &controller{model: m, index: n, rng: randomStream(sc.Seed, streamController, n)}
		for range sc.Servers {
			c.latencies = append(c.latencies, int64(9.7e6+c.rng.Float64()*15.3e6))
		}
		m.controllers = append(m.controllers, c)
		if err := c.startProcess(); err != nil {
			return nil, err
		}
	}
	for k, t := range sc.Faults {
		m.scheduleFault(t, randomStream(sc.Seed, streamFault, k))
	}
	m.scheduleAfter(1, m.scheduleArrival)
	if f := sc.Flood; f != nil {
		m.scheduleAfter(int64(f.At), m.scheduleFloodCall)
	}
	if sc.OnStatus != nil {
		m.scheduleAfter(1e9, m.reportStatus)
	}
	m.run(start + int64(sc.Duration))
	end := m.now
	m.run(end + deadline) // open calls are still answered; no new ones arrive
	return m.result(time.Since(wallStart)), nil
}

// scheduleArrival adds a caller and schedules the next one, until the scenario ends.
func (m *model) scheduleArrival() {
	at := time.Duration(m.now - start)
	if at >= m.Duration {
		return
	}
	rate := m.Load * m.Planned
	if m.RateFactor != nil {
		rate *= m.RateFactor(at)
	}
	m.addCaller()
	m.scheduleAfter(int64(m.rng.ExpFloat64()/max(rate, 1e-3)*1e9), m.scheduleArrival)
}

// scheduleFloodCall adds a call of the flood and schedules the next one, until the flood ends.
func (m *model) scheduleFloodCall() {
	f := m.Flood
	if at := time.Duration(m.now - start); at >= f.At+f.Duration || at >= m.Duration {
		return
	}
	m.addCaller().tenant = f.Tenant
	m.scheduleAfter(int64(m.rng.ExpFloat64()/(f.Load*m.Planned)*1e9), m.scheduleFloodCall)
}

// reportStatus passes the status of all running controllers to OnStatus, once per simulated second.
func (m *model) reportStatus() {
	at := time.Duration(m.now - start)
	var all []exchange.Status
	for _, c := range m.controllers {
		if c.exchange != nil {
			all = append(all, c.exchange.StatusDirect())
		}
	}
	m.OnStatus(at, all)
	if at < m.Duration {
		m.scheduleAfter(1e9, m.reportStatus)
	}
}

// settings are the platform's settings for controller n.
func (m *model) settings(n int) control.Settings {
	cells := make([]int, m.Servers)
	for c := range cells {
		cells[c] = c
	}
	return control.Settings{GroupSize: m.Controllers, Ordinal: n, OwnCell: -1, MaxAttempts: 4, MayCancel: true, RetryAfter: true,
		MaxRetryAfter: 2e9, ReportFields: []string{"spare", "total", "cpu", "waiting"}, Resolution: 5e6, ReleaseWait: 300e6, DrainGrace: 1e9,
		CrashMultiple: 2, CrashWindow: 1e9, ColdFraction: 0.31, WarmUpTime: 15e9,
		Classes: []control.Class{{TargetDelay: targetDelay, Deadline: deadline, Value: 1, LateValue: lateValue, Cells: cells}}}
}

// listEntry is the server's entry in the list.
func (s *server) listEntry(state control.EntryState) exchange.Office {
	return exchange.Office{Entry: control.Entry{Cell: s.cell, Share: 1, Server: s.id, ReadyAt: s.readyAt, State: state}, Addr: fmt.Sprint(s.id)}
}

// announce has every controller learn of a change, each after a random delay of its own.
func (m *model) announce(s *server, state control.EntryState) {
	o := s.listEntry(state)
	for _, c := range m.controllers {
		wait := int64(m.ListDelay[0]) + c.rng.Int64N(int64(m.ListDelay[1]-m.ListDelay[0])+1)
		at := max(m.now+wait, c.lastUpdateAt) // changes arrive in order
		c.lastUpdateAt = at
		m.scheduleAt(at, func() { c.applyUpdate(o) })
	}
}

// Ranges of the time after which the list service detects that a server's process has ended or is silent (the figures of
// the site file).
var (
	downDetection    = [2]time.Duration{1200 * time.Millisecond, 3600 * time.Millisecond}
	silenceDetection = [2]time.Duration{4400 * time.Millisecond, 12 * time.Second}
)

// announceRemoval has the list announce that a server is gone once that is detected, unless the fault is over before.
func (m *model) announceRemoval(s *server, fault Fault, within [2]time.Duration, rng *rand.Rand) {
	if wait := within[0] + time.Duration(rng.Int64N(int64(within[1]-within[0]))); wait < fault.Duration {
		m.scheduleAfter(int64(wait), func() { m.announce(s, control.Removed) })
	}
}

// scheduleFault schedules one fault and its end.
func (m *model) scheduleFault(fault Fault, rng *rand.Rand) {
	affected := max(int(fault.Share*float64(m.Servers)+0.5), 1)
	m.scheduleAt(start+int64(fault.At), func() {
		switch fault.Kind {
		case "replace":
			for k, cell := range rng.Perm(m.Servers)[:affected] {
				m.scheduleAfter(int64(fault.Duration)*int64(k)/int64(affected), func() {
					old, s := m.current[cell], m.newServer(cell, m.now)
					m.current[cell] = s
					old.draining = true
					m.announce(old, control.Draining)
					m.announce(s, control.Serving)
					m.scheduleAfter(11e9, func() { old.stop(); m.announce(old, control.Removed) })
				})
			}
		case "down": // the process is gone for a while and then restarts, cold
			for _, cell := range rng.Perm(m.Servers)[:affected] {
				s := m.current[cell]
				s.stop()
				m.announceRemoval(s, fault, downDetection, rng)
				m.scheduleAfter(int64(fault.Duration), func() {
					s.stopped = false
					s.crash()
					m.announce(s, control.Serving)
				})
			}
		case "cut": // messages to and from these servers arrive when the partition is over
			for _, cell := range rng.Perm(m.Servers)[:affected] {
				m.unreachableUntil[cell] = m.now + int64(fault.Duration)
			}
		case "kill":
			for _, n := range rng.Perm(m.Controllers)[:int(fault.Share*float64(m.Controllers)+0.5)] {
				m.controllers[n].kill(int64(200e6 + rng.Float64()*1.3e9))
			}
		case "late":
			previous, extra := m.ListDelay, time.Duration(fault.Magnitude*1e9)
			m.ListDelay = [2]time.Duration{previous[0] + extra, previous[1] + extra}
			m.scheduleAfter(int64(fault.Duration), func() { m.ListDelay = previous })
		case "shift":
			m.drawTrafficShares()
		case "lossy":
			m.answerLoss = fault.Share
			m.scheduleAfter(int64(fault.Duration), func() { m.answerLoss = 0 })
		case "crash":
			for _, cell := range rng.Perm(m.Servers)[:affected] {
				s := m.current[cell]
				s.crash()
				m.announce(s, control.Serving)
			}
		case "slow", "silent":
			for _, cell := range rng.Perm(m.Servers)[:affected] {
				s := m.current[cell]
				apply := func(on bool) {
					if fault.Kind == "silent" {
						s.handleCompleted(s.processor.SetSilent(m.now, on))
						if s.silentSince = 0; on {
							s.silentSince = m.now
						}
						if s.startedInRun = s.startedInRun || !on; on {
							m.announceRemoval(s, fault, silenceDetection, rng)
						} else {
							s.readyAt = m.now
							m.announce(s, control.Serving)
						}
					} else if on {
						s.handleCompleted(s.processor.SetSlowdown(m.now, fault.Magnitude))
					} else {
						s.handleCompleted(s.processor.SetSlowdown(m.now, 1))
					}
					s.scheduleAdvance()
				}
				apply(true)
				m.scheduleAfter(int64(fault.Duration), func() { apply(false) })
			}
		case "restarts":
			order := rng.Perm(m.Controllers)[:int(fault.Share*float64(m.Controllers)+0.5)]
			batch := max(int(fault.Batch*float64(m.Controllers)), 1)
			batches := max((len(order)+batch-1)/batch, 1)
			for k, n := range order {
				down := int64(200e6 + rng.Float64()*1.3e9)
				m.scheduleAfter(int64(fault.Duration)*int64(k/batch)/int64(batches), func() { m.controllers[n].restart(down) })
			}
		}
	})
}

// result computes the figures of the run.
func (m *model) result(wallTime time.Duration) *Result {
	r := &Result{Seed: m.Seed, Controllers: m.Controllers, Servers: m.Servers, Calls: len(m.allCallers), Events: m.processed, RealSeconds: wallTime.Seconds(),
		EventsPerSecond: float64(m.processed) / wallTime.Seconds(), RefusalPointMS: float64(m.params.RefusalWait) / 1e6, UtilizationAtPlan: m.utilization, Restarts: m.restarts, SendsToSilentServers: m.sendsToSilent, PeerSent: m.peerMessages, PeerBytes: m.peerBytes, ServedByTenant: map[string]float64{}}
	r.Violations, _, _ = m.ledger.Result()
	seconds := int(m.Duration/time.Second) + 1
	r.ServedBySecond, r.OfferedBySecond = make([]float64, seconds), make([]int, seconds)
	callsByTenant := map[string]float64{}
	lateCalls := 0
	for _, c := range m.allCallers {
		value := c.value()
		r.ServedShare += value
		r.Tries += c.tries
		if c.cut {
			r.CutCalls++
		}
		if c.establishedAt > 0 && c.establishedAt-c.firstTryAt > targetDelay {
			lateCalls++
		}
		callsByTenant[c.tenant]++
		r.ServedByTenant[c.tenant] += value
		k := int((c.firstTryAt - start) / 1e9)
		r.ServedBySecond[k] += value
		r.OfferedBySecond[k]++
	}
	calls := float64(max(len(m.allCallers), 1))
	r.ServedShare, r.LateShare = r.ServedShare/calls, float64(lateCalls)/calls
	for name := range r.ServedByTenant {
		r.ServedByTenant[name] /= callsByTenant[name]
	}
	if f := m.Flood; f != nil {
		r.ServedInFlood = map[string]float64{}
		offered := map[string]float64{}
		for _, c := range m.allCallers {
			if at := time.Duration(c.firstTryAt - start); at >= f.At && at < f.At+f.Duration {
				r.ServedInFlood[c.tenant] += c.value()
				offered[c.tenant]++
			}
		}
		for name := range r.ServedInFlood {
			r.ServedInFlood[name] /= offered[name]
		}
	}
	for k := range r.ServedBySecond {
		r.ServedBySecond[k] /= float64(max(r.OfferedBySecond[k], 1))
	}
	for _, s := range m.servers {
		r.FellOver = r.FellOver || s.processor.FellOver()
		_, refused := s.processor.Counts()
		r.RefusedByServers += refused
		if s.startedInRun {
			r.MaxColdWaitMS = max(r.MaxColdWaitMS, float64(s.processor.MaxWait())/1e6)
		}
	}
	for _, w := range m.coldStarts {
		r.ColdStarts = append(r.ColdStarts, w.ColdStart)
	}
	var mem runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&mem)
	r.MemoryKB = float64(mem.HeapAlloc) / 1024 / float64(max(m.Controllers, 1))
	return r
}

// sortedKeys gives the keys of a map in sorted order, so that runs of one seed stay equal.
func sortedKeys[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
