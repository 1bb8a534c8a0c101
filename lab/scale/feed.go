package scale

import (
	"context"
	"maps"
	"math"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"masthill/control"
	"masthill/control/join"
	"masthill/internal/exchange"
)

// joinModule is a decision module that runs beside control.
type joinModule = join.Module

// feed generates synthetic calls for a hollow member's shared state, so that it sends as much to other members as with real
// calls. The calls use neither control nor any socket.
type feed struct {
	mu      sync.Mutex
	servers map[uint64]bool
	silent  atomic.Uint64 // calls to this server get no answer; 0: all servers answer
	calls   atomic.Uint64
	rate    atomic.Uint64 // calls per second, as the bits of a float64
	open    []openCall    // at the silent server; used only by the core's goroutine
}

// openCall is a synthetic call that has not been answered.
type openCall struct {
	id     string
	server uint64
	at     int64
}

// answerTimeout is how long a call waits for its answer: as long as the aim of its class.
const answerTimeout = int64(1200 * time.Millisecond)

// feedInterval is the interval at which synthetic calls are submitted.
const feedInterval = 100 * time.Millisecond

// maxCallsPerTick limits the calls submitted in one interval.
const maxCallsPerTick = 1000

func (f *feed) setRate(callsPerSecond float64) { f.rate.Store(math.Float64bits(callsPerSecond)) }

// onListUpdate maintains the set of serving servers.
func (f *feed) onListUpdate(changed []exchange.Office, full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if full || f.servers == nil {
		f.servers = map[uint64]bool{}
	}
	for _, o := range changed {
		if o.State == control.Serving {
			f.servers[o.Server] = true
		} else {
			delete(f.servers, o.Server)
		}
	}
}

func (f *feed) serving() []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.servers))
}

// tenants are the tenants of host.Platform.
var tenants = []string{"slaney-vines", "barrow-estate", "suir-growers"}

// run submits calls until ctx ends.
func (f *feed) run(ctx context.Context, m *Member) {
	tick := time.NewTicker(feedInterval)
	defer tick.Stop()
	due := 0.0
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		servers := f.serving()
		due += feedInterval.Seconds() * math.Float64frombits(f.rate.Load()) / m.spec.slowdown()
		n := uint64(min(due, maxCallsPerTick))
		if due -= float64(n); n == 0 || len(servers) == 0 {
			continue
		}
		m.core.TryRun(func(now int64) {
			for range n {
				call := f.calls.Add(1)
				f.call(now, m, call, servers[(call*7+uint64(m.number))%uint64(len(servers))])
			}
			f.timeOutCalls(now, m)
		})
	}
}

// call plays one synthetic call: it is admitted, sent to a server and established, unless the server is silent.
func (f *feed) call(now int64, m *Member, call, server uint64) {
	id := "f" + strconv.FormatUint(call, 16)
	m.shared.Admit(now, join.Call{ID: id, Tenant: tenants[call%uint64(len(tenants))]})
	if ok, _ := m.shared.HasCapacity(now, server); !ok {
		m.shared.OnEvent(now, control.Event{Kind: control.Aborted, Call: id})
		return
	}
	m.shared.OnAction(now, control.Action{Kind: control.Send, Call: id, Server: server})
	if server == f.silent.Load() {
		f.open = append(f.open, openCall{id, server, now})
		return
	}
	m.shared.OnEvent(now, control.Event{Kind: control.Established, Call: id, Server: server})
}

// timeOutCalls ends the calls that were not answered in time.
func (f *feed) timeOutCalls(now int64, m *Member) {
	for len(f.open) > 0 && now-f.open[0].at >= answerTimeout {
		call := f.open[0]
		f.open = f.open[1:]
		m.shared.OnEvent(now, control.Event{Kind: control.AttemptEnded, Call: call.id, Server: call.server, Outcome: control.TimedOut})
	}
}
