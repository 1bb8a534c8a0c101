package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"masthill/control/rollout"
	"masthill/internal/ctl"
)

const (
	// tickEvery is how often the loop looks at everything, askEvery how often at instances' status, trimEvery at logs.
	tickEvery, askEvery, trimEvery = 50 * time.Millisecond, 250 * time.Millisecond, 10 * time.Second
	// stateFile holds the supervisor's state over its own end.
	stateFile = "fleet.json"
	// programsMost bounds the generations whose programs are remembered.
	programsMost = 8
)

// state is what outlives a supervisor.
type state struct {
	Generation string            `json:"generation"` // that instances are to have
	Last       int               `json:"last"`       // number of the newest generation
	Programs   map[string]string `json:"programs"`   // by generation
	Rollout    *rollout.Rollout  `json:"rollout,omitempty"`
	Outcome    *Outcome          `json:"outcome,omitempty"` // of the last rollout
	// Addresses are those of the instances' listening sockets, by instance and socket.
	Addresses map[string]map[string]string `json:"addresses,omitempty"`
}

// Supervisor runs a fleet. One goroutine, the loop, owns its state; everything else posts to it.
type Supervisor struct {
	spec            *Spec
	log             *slog.Logger
	LauncherProgram string // the program that launches instances: this one
	state           state
	step            rollout.Step

	ctx     context.Context
	group   *errgroup.Group
	members []*member
	events  chan func()
	down    bool // all instances are being ended
	wrote   string
	lock    *os.File // of the fleet's folder, held as long as this process supervises it
	once    sync.Once
	over    chan struct{}
}

// ErrRunning tells that the fleet has a supervisor already.
var ErrRunning = errors.New("the fleet has a supervisor already")

// New makes a supervisor, and takes the fleet's folder for this process.
func New(spec *Spec, self string, log *slog.Logger) (*Supervisor, error) {
	if err := os.MkdirAll(spec.Dir, 0o700); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(spec.Dir, lockFile), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, ErrRunning
	}
	s := &Supervisor{lock: lock, spec: spec, log: log, LauncherProgram: self, events: make(chan func(), 256), over: make(chan struct{})}
	text, err := os.ReadFile(filepath.Join(spec.Dir, stateFile))
	if err == nil {
		err = json.Unmarshal(text, &s.state)
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		log.Error("state of before not taken up", "err", err)
		s.state = state{}
	}
	if s.state.Programs == nil {
		s.state.Programs = map[string]string{}
	}
	if s.state.Addresses == nil {
		s.state.Addresses = map[string]map[string]string{}
	}
	program := spec.Program
	if program == "" {
		program = self
	}
	if s.state.Generation == "" {
		s.state.Generation = s.generation(program)
	}
	for n := range spec.Instances {
		m := newMember(s, n)
		m.gen = s.state.Generation
		if err := os.MkdirAll(m.dir, 0o700); err != nil {
			return nil, err
		}
		s.members = append(s.members, m)
	}
	return s, nil
}

// addresses are those of an instance's listening sockets. The map is a part of the state that outlives the supervisor.
func (s *Supervisor) addresses(instance string) map[string]string {
	if s.state.Addresses[instance] == nil {
		s.state.Addresses[instance] = map[string]string{}
	}
	return s.state.Addresses[instance]
}

// generation makes a new one for a program, and forgets the oldest.
func (s *Supervisor) generation(program string) string {
	s.state.Last++
	g := strconv.Itoa(s.state.Last)
	s.state.Programs[g] = program
	for old := range s.state.Programs {
		if n, _ := strconv.Atoi(old); n <= s.state.Last-programsMost {
			delete(s.state.Programs, old)
		}
	}
	return g
}

// post has the loop do something. It never blocks for good: the loop takes everything until its end.
func (s *Supervisor) post(f func()) {
	select {
	case s.events <- f:
	case <-s.over:
	}
}

// ask has the loop do something and waits for it.
func (s *Supervisor) ask(f func()) {
	done := make(chan struct{})
	s.post(func() { f(); close(done) })
	select {
	case <-done:
	case <-s.over:
	}
}

// Run supervises until ctx ends or Down was called; then it ends all instances in order and comes back.
func (s *Supervisor) Run(ctx context.Context) error {
	defer s.lock.Close()
	// Before anything is started: a fleet that nobody can give an order to is not to run unseen.
	l, err := ctl.Listen(s.spec.Socket())
	if err != nil {
		return err
	}
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, inner := errgroup.WithContext(inner)
	s.group, s.ctx = g, inner
	for _, m := range s.members {
		if !m.adopt(inner) {
			m.why = "first"
		}
	}
	s.write()
	g.Go(func() error { return s.serve(inner, l) })
	g.Go(func() error {
		defer cancel()
		s.loop(ctx)
		return nil
	})
	err = g.Wait()
	for _, m := range s.members {
		m.closeListeners()
	}
	return err
}

func (s *Supervisor) loop(ctx context.Context) {
	defer s.once.Do(func() { close(s.over) })
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	var asked, trimmed time.Time
	for {
		select {
		case f := <-s.events:
			f()
			continue
		case <-tick.C:
		}
		if ctx.Err() != nil {
			s.down = true
		}
		if time.Since(asked) >= askEvery {
			asked = time.Now()
			for _, m := range s.members {
				m.look()
			}
		}
		if time.Since(trimmed) >= trimEvery {
			trimmed = time.Now()
			for _, m := range s.members {
				m.trim()
			}
		}
		if s.down {
			if s.end() {
				return
			}
			continue
		}
		s.roll()
		for _, m := range s.members {
			s.keep(m)
		}
		s.write()
	}
}

// keep starts an instance that is down and is to run.
func (s *Supervisor) keep(m *member) {
	if m.phase != rollout.Down || m.pid > 0 {
		return
	}
	if m.adopt(s.ctx) { // a supervisor before this one had launched it, and it has claimed its folder only now
		return
	}
	if time.Now().Before(m.retryAt) {
		return
	}
	if err := m.start(); err != nil {
		m.retryAt = time.Now().Add(m.wait.NextBackOff())
		s.log.Error("instance not started", "instance", m.name, "err", err)
	}
}

// end ends all instances in order; it tells when all are gone.
func (s *Supervisor) end() bool {
	left := 0
	for _, m := range s.members {
		if m.pid > 0 {
			m.stop()
			left++
		}
	}
	return left == 0
}

// write writes the state down when it has changed.
func (s *Supervisor) write() {
	text, err := json.MarshalIndent(s.state, "", " ")
	if err != nil || string(text) == s.wrote {
		return
	}
	if err := replace(filepath.Join(s.spec.Dir, stateFile), text); err != nil {
		s.log.Error("state not written", "err", err)
		return
	}
	s.wrote = string(text)
}
