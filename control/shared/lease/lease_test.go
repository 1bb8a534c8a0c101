package lease

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// simulation runs nodes with drifting clocks over a network that loses, delays, duplicates and partitions messages.
type simulation struct {
	rng           *rand.Rand
	now           int64 // true time
	cfg           Config
	nodes         []*simulatedNode
	eventQueue    eventQueue
	seq           uint64
	loss          float64
	delay         int64
	cut           func(from, to int) bool
	size          int64
	requestedRate func(k int) int64
	maxInUse      int64 // the greatest rate in use at any moment so far
	violation     string
	starts        int64 // of processes, each of which starts with a part of a unit
}

// simulatedNode is one instance. Its clock has an offset and a rate. While it is paused, messages to it wait.
type simulatedNode struct {
	node            *Node
	name            string
	offset          int64
	rate            float64
	paused          bool
	delayedMessages []Message
	epoch           uint64
	uses            int64
}

type event struct {
	at  int64
	seq uint64
	do  func()
}
type eventQueue []event

func (p eventQueue) Len() int { return len(p) }
func (p eventQueue) Less(i, j int) bool {
	return p[i].at < p[j].at || p[i].at == p[j].at && p[i].seq < p[j].seq
}
func (p eventQueue) Swap(i, j int) { p[i], p[j] = p[j], p[i] }
func (p *eventQueue) Push(v any)   { *p = append(*p, v.(event)) }
func (p *eventQueue) Pop() any {
	old := *p
	last := old[len(old)-1]
	*p = old[:len(old)-1]
	return last
}

const budget = "cold/1"

func (w *simulation) after(d int64, f func()) {
	w.seq++
	heap.Push(&w.eventQueue, event{w.now + d, w.seq, f})
}
func (w *simulation) clock(o *simulatedNode) int64 { return o.offset + int64(float64(w.now)*o.rate) }

func newSimulation(seed uint64, members, voters int, c Config) *simulation {
	if c.Floor == 0 {
		c.Floor = 0.2
	}
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), cfg: c, size: 100_000, delay: 20e6, cut: func(int, int) bool { return false }}
	w.requestedRate = func(int) int64 { return w.size }
	for k := range voters {
		w.cfg.Voters = append(w.cfg.Voters, fmt.Sprint("n", k))
	}
	w.cfg.MaxInstances = members
	drift := w.cfg
	drift.setDefaults()
	for k := range members {
		o := &simulatedNode{name: fmt.Sprint("n", k), offset: w.rng.Int64N(1e15), rate: 1 + (w.rng.Float64()*2-1)*drift.Drift}
		w.nodes = append(w.nodes, o)
		w.start(k)
		w.after(w.rng.Int64N(50e6), func() { w.tick(k) })
	}
	return w
}

// start starts a new process of an instance, without any state of the previous one.
func (w *simulation) start(k int) {
	o := w.nodes[k]
	w.starts++
	o.epoch = w.rng.Uint64()
	o.delayedMessages, o.paused = nil, false
	o.node = New(w.cfg, ID{o.name, o.epoch}, w.rng.Uint64(), w.clock(o), nil)
}

func (w *simulation) tick(k int) {
	o := w.nodes[k]
	if !o.paused {
		now := w.clock(o)
		for _, m := range o.delayedMessages {
			w.send(k, o.node.Receive(now, m))
		}
		o.delayedMessages = nil
		o.node.Request(now, budget, w.size, w.requestedRate(k))
		w.send(k, o.node.Tick(now))
		for w.requestedRate(k) > 0 && o.node.Take(now, budget) {
			o.uses++
		}
	}
	w.check()
	w.after(50e6, func() { w.tick(k) })
}

func (w *simulation) send(from int, out []Outgoing) {
	for _, m := range out {
		to := slices.IndexFunc(w.nodes, func(o *simulatedNode) bool { return o.name == m.To })
		for range 1 + w.rng.IntN(20)/19 { // one in twenty is duplicated
			if to < 0 || w.cut(from, to) || w.rng.Float64() < w.loss {
				continue
			}
			w.after(1e6+w.rng.Int64N(w.delay), func() {
				o := w.nodes[to]
				if o.paused {
					o.delayedMessages = append(o.delayedMessages, m.Message)
					return
				}
				w.send(to, o.node.Receive(w.clock(o), m.Message))
				w.check()
			})
		}
	}
}

// check adds up the rates usable at this moment and counts the leaders. A paused node counts too, as it does not know that
// it is paused.
func (w *simulation) check() {
	sum, leaders := int64(0), 0
	for _, o := range w.nodes {
		sum += o.node.Rate(w.clock(o), budget)
		if o.node.IsLeader(w.clock(o)) {
			leaders++
		}
	}
	if leaders > 1 && w.violation == "" {
		w.violation = fmt.Sprintf("%d leaders at %d ms", leaders, w.now/1e6)
	}
	if w.maxInUse = max(w.maxInUse, sum); sum > w.size && w.violation == "" {
		w.violation = fmt.Sprintf("%d of %d in use at %d ms", sum, w.size, w.now/1e6)
	}
}

func (w *simulation) run(d int64) {
	until := w.now + d
	for len(w.eventQueue) > 0 && w.eventQueue[0].at <= until {
		t := heap.Pop(&w.eventQueue).(event)
		w.now = t.at
		t.do()
	}
	w.now = until
}

func (w *simulation) uses() (n int64) {
	for _, o := range w.nodes {
		n += o.uses
	}
	return n
}

// requireSettled lets the leases settle, and fails unless most of the budget is in use by then.
func requireSettled(t *testing.T, w *simulation) {
	t.Helper()
	w.run(12e9)
	sum := int64(0)
	for _, o := range w.nodes {
		sum += o.node.Rate(w.clock(o), budget)
	}
	if sum < w.size*8/10 {
		t.Fatalf("%d of %d in use", sum, w.size)
	}
	if w.violation != "" {
		t.Fatal(w.violation)
	}
}

func TestBudgetMovesToTheOnlyRequester(t *testing.T) {
	w := newSimulation(1, 7, 3, Config{})
	requireSettled(t, w)
	w.requestedRate = func(k int) int64 {
		if k == 5 {
			return w.size
		}
		return 0
	}
	w.run(4e9)
	if got := w.nodes[5].node.Rate(w.clock(w.nodes[5]), budget); got < w.size*8/10 {
		t.Fatalf("the only requester has %d of %d", got, w.size)
	}
}

func TestPartitionedInstanceFallsBackToItsFloor(t *testing.T) {
	w := newSimulation(2, 7, 3, Config{})
	requireSettled(t, w)
	w.cut = func(from, to int) bool { return from == 6 || to == 6 }
	w.run(5e9)
	o := w.nodes[6]
	floor := w.size / 5 / 7
	if got := o.node.Rate(w.clock(o), budget); got != floor {
		t.Fatalf("rate %d, the floor is %d", got, floor)
	}
	before := o.uses
	w.run(10e9)
	if o.uses-before < floor*10/1000*8/10 {
		t.Fatalf("only %d uses in 10 s at the floor", o.uses-before)
	}
	requireSettled(t, w) // the others lease what it gave up
}

func TestMinorityFallsBackToItsFloors(t *testing.T) {
	w := newSimulation(3, 10, 5, Config{})
	requireSettled(t, w)
	side := func(k int) bool { return k < 2 || k > 5 } // voters 0 and 1 of 0 to 4
	w.cut = func(from, to int) bool { return side(from) != side(to) }
	w.run(8e9)
	for k, o := range w.nodes {
		if floor := w.size / 5 / 10; side(k) && o.node.Rate(w.clock(o), budget) != floor {
			t.Errorf("n%d has %d", k, o.node.Rate(w.clock(o), budget))
		}
	}
	requireSettled(t, w)
	w.cut = func(int, int) bool { return false }
	requireSettled(t, w)
}

func TestPausedHolderResumesWithoutLease(t *testing.T) {
	w := newSimulation(4, 5, 3, Config{})
	requireSettled(t, w)
	o := w.nodes[4]
	o.paused = true
	w.run(20e9)
	now, used := w.clock(o), o.uses
	if got := o.node.Rate(now, budget); got != w.size/5/5 {
		t.Fatalf("rate %d after the pause", got)
	}
	for o.node.Take(now, budget) {
		o.uses++
	}
	if o.uses-used > 2 { // the token of its floor, and what it had accumulated
		t.Fatalf("%d uses right after the pause", o.uses-used)
	}
	o.paused = false
	requireSettled(t, w)
}

func TestLeaderPausedOrRestarted(t *testing.T) {
	for _, gone := range []bool{false, true} {
		w := newSimulation(5, 6, 3, Config{})
		requireSettled(t, w)
		k := slices.IndexFunc(w.nodes, func(o *simulatedNode) bool { return o.node.IsLeader(w.clock(o)) })
		if k < 0 {
			t.Fatal("no leader")
		}
		w.nodes[k].paused = true
		requireSettled(t, w)
		if gone {
			w.start(k)
		} else {
			w.nodes[k].paused = false
		}
		requireSettled(t, w)
	}
}

// randomFaults applies random faults until the given time or until a violation.
func randomFaults(seed uint64, c Config, length int64) *simulation {
	w := newSimulation(seed, 3+int(seed%7), 3, c)
	rng := rand.New(rand.NewPCG(seed, 2))
	w.run(3e9 + rng.Int64N(5e9))
	for w.now < length && w.violation == "" {
		switch rng.IntN(10) {
		case 0:
			at := rng.IntN(len(w.nodes)) // one node is cut off
			w.cut = func(from, to int) bool { return from == at || to == at }
		case 1:
			at := rng.IntN(len(w.nodes)) // one node receives nothing, but its messages arrive
			w.cut = func(_, to int) bool { return to == at }
		case 2:
			mask := rng.Uint64()
			w.cut = func(from, to int) bool { return mask>>from&1 != mask>>to&1 }
		case 3:
			w.cut = func(int, int) bool { return false }
		case 4:
			w.loss, w.delay = rng.Float64()*0.4, 1e6+rng.Int64N(3e9)
		case 5:
			w.loss, w.delay = 0, 20e6
		case 6:
			w.nodes[rng.IntN(len(w.nodes))].paused = true
		case 7:
			for _, o := range w.nodes {
				o.paused = false
			}
		case 8:
			w.start(rng.IntN(len(w.nodes)))
		case 9:
			mask := rng.Uint64()
			w.requestedRate = func(k int) int64 { return int64(mask >> (k * 4) & 15 * uint64(w.size) / 15) }
		}
		w.run(1e6 + rng.Int64N(3e9))
	}
	return w
}

func TestRandomFaultsKeepTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		w := randomFaults(seed, Config{}, 60e9)
		if w.violation != "" {
			t.Fatal(w.violation)
		}
		c := w.cfg
		c.setDefaults()
		if most := w.size*w.now/1e12 + int64(c.MaxInstances) + w.starts + int64(c.Burst*float64(w.size))/1000; w.uses() > most {
			t.Fatalf("%d uses, at most %d are allowed in %d ms", w.uses(), most, w.now/1e6)
		}
	})
}

// voterRestarts repeatedly restarts a voter that may have voted for the leader and that also receives the requests of a
// candidate cut off from the leader.
func voterRestarts(seed uint64, c Config, length int64) *simulation {
	w := newSimulation(seed, 5, 3, c)
	w.run(8e9)
	for w.now < length && w.violation == "" {
		k := slices.IndexFunc(w.nodes, func(o *simulatedNode) bool { return o.node.IsLeader(w.clock(o)) })
		if k >= 0 {
			a, b := (k+1)%3, (k+2)%3
			w.cut = func(from, to int) bool { return from == k && to == b || from == b && to == k }
			w.run(3e9)
			w.start(a)
		}
		w.run(1e9 + int64(seed%7)*200e6)
		w.cut = func(int, int) bool { return false }
		w.run(3e9)
	}
	return w
}

func TestRestartedVoterStaysSilent(t *testing.T) {
	for seed := range uint64(30) {
		if w := voterRestarts(seed, Config{}, 60e9); w.violation != "" {
			t.Fatal(seed, w.violation)
		}
	}
}

// A late vote request must not set the vote back to an older round, because a release of that round would then end the vote.
func TestLateVoteRequestIsIgnored(t *testing.T) {
	k := New(Config{Voters: []string{"a", "b", "k"}, MaxInstances: 3, Term: 2 * second}, ID{"k", 1}, 1, 0, nil)
	now, a := 10*second, ID{"a", 7}
	k.Receive(now, Message{Kind: VoteRequest, From: a, Round: 2})
	k.Receive(now+1, Message{Kind: VoteRequest, From: a, Round: 1})
	k.Receive(now+2, Message{Kind: VoteRelease, From: a, Round: 1})
	if out := k.Receive(now+3, Message{Kind: VoteRequest, From: ID{"b", 8}, Round: 1}); len(out) != 0 {
		t.Error("voted for two candidates")
	}
}

// Late replies to the previous process of an instance do not count for its new process.
func TestRepliesToThePreviousProcessAreIgnored(t *testing.T) {
	c := Config{Voters: []string{"a", "b", "c"}, MaxInstances: 3, Term: 2 * second}
	b := New(c, ID{"b", 1}, 1, 0, nil)
	votes := b.Receive(10*second, Message{Kind: VoteRequest, From: ID{"a", 1}, Round: 1})
	if len(votes) != 1 || votes[0].Kind != Vote {
		t.Fatalf("%+v", votes)
	}
	a := New(c, ID{"a", 2}, 1, 10*second, nil) // the new process of a
	now := 10 * second
	for ; a.votingRound == 0; now += second / 20 {
		a.Tick(now)
	}
	if a.Receive(now, votes[0].Message); a.votingRound != 1 || a.IsLeader(now) {
		t.Error("it became the leader by a vote for its previous process")
	}
	h := New(c, ID{"h", 2}, 1, 0, nil)
	h.Request(0, budget, 30_000, 30_000)
	h.Tick(0)
	h.Receive(1, Message{Kind: LeaseGrant, From: ID{h.requestTarget, 5}, Round: 1, ToEpoch: 1, Budgets: []BudgetLease{{Budget: budget, Rate: 9000}}})
	if h.budgets[budget].leased != 0 {
		t.Error("it uses a grant to its previous process")
	}
	h.Receive(1, Message{Kind: LeaseGrant, From: ID{h.requestTarget, 5}, Round: 1, ToEpoch: 2, Budgets: []BudgetLease{{Budget: budget, Rate: 9000}}})
	if h.budgets[budget].leased != 9000 {
		t.Error("its own grant is ignored")
	}
}

// With any of these checks left out, the simulation finds a violation.
func TestEachCheckIsNeeded(t *testing.T) {
	for _, check := range []string{CheckVoterSilence, CheckRequestTime, CheckGrantDelay, CheckReservations} {
		broken := 0
		for seed := range uint64(150) {
			simulate := randomFaults
			if check == CheckVoterSilence {
				simulate = voterRestarts
			}
			if simulate(seed, Config{OmitCheck: check}, 60e9).violation != "" {
				broken++
			}
		}
		t.Logf("without check %q: violations in %d of 150 runs", check, broken)
		if broken == 0 {
			t.Errorf("no violation without check %q", check)
		}
	}
}
