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
	// The loop runs each tickInterval; it polls instances each pollInterval and trims their logs each trimInterval.
	tickInterval, pollInterval, trimInterval = 50 * time.Millisecond, 250 * time.Millisecond, 10 * time.Second
	// stateFile keeps the supervisor's state across its restarts.
	stateFile = "fleet.json"
	// maxPrograms limits the generations whose programs are remembered.
	maxPrograms = 8
)

// state is the supervisor's state that is stored across restarts.
type state struct {
	Generation     string            `json:"generation"` // that instances should run
	LastGeneration int               `json:"last"`       // number of the newest generation
	Programs       map[string]string `json:"programs"`   // by generation
	Rollout        *rollout.Rollout  `json:"rollout,omitempty"`
	Outcome        *Outcome          `json:"outcome,omitempty"` // of the last rollout
	// Addresses are those of the instances' listening sockets, by instance and socket.
	Addresses map[string]map[string]string `json:"addresses,omitempty"`
}

// Supervisor runs a fleet. One goroutine, the loop, owns its state; other goroutines post functions for it to run.
type Supervisor struct {
	spec            *Spec
	log             *slog.Logger
	LauncherProgram string // path of this program, which launches the instances
	state           state
	step            rollout.Step

	ctx          context.Context
	group        *errgroup.Group
	members      []*member
	events       chan func()
	shuttingDown bool // all instances are being stopped
	lastWritten  string
	lock         *os.File // of the fleet's folder, held while this process supervises it
	stopOnce     sync.Once
	stopped      chan struct{}
}

// ErrRunning means that another supervisor runs the fleet.
var ErrRunning = errors.New("the fleet has a supervisor already")

// New makes a supervisor and locks the fleet's folder for this process. self is the path of this program.
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
	s := &Supervisor{lock: lock, spec: spec, log: log, LauncherProgram: self, events: make(chan func(), 256), stopped: make(chan struct{})}
	text, err := os.ReadFile(filepath.Join(spec.Dir, stateFile))
	if err == nil {
		err = json.Unmarshal(text, &s.state)
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		log.Error("stored state discarded", "err", err)
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
		s.state.Generation = s.newGeneration(program)
	}
	for n := range spec.Instances {
		m := newMember(s, n)
		m.generation = s.state.Generation
		if err := os.MkdirAll(m.dir, 0o700); err != nil {
			return nil, err
		}
		s.members = append(s.members, m)
	}
	return s, nil
}

// addresses returns the addresses of an instance's listening sockets. The map is part of the stored state.
func (s *Supervisor) addresses(instance string) map[string]string {
	if s.state.Addresses[instance] == nil {
		s.state.Addresses[instance] = map[string]string{}
	}
	return s.state.Addresses[instance]
}

// newGeneration makes a new generation for a program, and forgets the oldest.
func (s *Supervisor) newGeneration(program string) string {
	s.state.LastGeneration++
	g := strconv.Itoa(s.state.LastGeneration)
	s.state.Programs[g] = program
	for old := range s.state.Programs {
		if n, _ := strconv.Atoi(old); n <= s.state.LastGeneration-maxPrograms {
			delete(s.state.Programs, old)
		}
	}
	return g
}

// post has the loop run f. It never blocks forever: the loop runs what is posted until it stops.
func (s *Supervisor) post(f func()) {
	select {
	case s.events <- f:
	case <-s.stopped:
	}
}

// runInLoop has the loop run f and waits until that is done, or the loop has stopped.
func (s *Supervisor) runInLoop(f func()) {
	done := make(chan struct{})
	s.post(func() { f(); close(done) })
	select {
	case <-done:
	case <-s.stopped:
	}
}

// Run supervises the fleet until ctx ends or Down is called; then it stops all instances and returns.
func (s *Supervisor) Run(ctx context.Context) error {
	defer s.lock.Close()
	// The socket is opened before any instance is started, as a fleet without it could not be controlled.
	l, err := ctl.Listen(s.spec.Socket())
	if err != nil {
		return err
	}
	loopCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, loopCtx := errgroup.WithContext(loopCtx)
	s.group, s.ctx = g, loopCtx
	for _, m := range s.members {
		if !m.adopt(loopCtx) {
			m.startReason = "first"
		}
	}
	s.writeState()
	g.Go(func() error { return s.serve(loopCtx, l) })
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

// loop runs posted functions and the periodic work until ctx has ended or Down was called, and all instances have ended.
func (s *Supervisor) loop(ctx context.Context) {
	defer s.stopOnce.Do(func() { close(s.stopped) })
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var polledAt, trimmedAt time.Time
	for {
		select {
		case f := <-s.events:
			f()
			continue
		case <-tick.C:
		}
		if ctx.Err() != nil {
			s.shuttingDown = true
		}
		if time.Since(polledAt) >= pollInterval {
			polledAt = time.Now()
			for _, m := range s.members {
				m.poll()
			}
		}
		if time.Since(trimmedAt) >= trimInterval {
			trimmedAt = time.Now()
			for _, m := range s.members {
				m.trimLog()
			}
		}
		if s.shuttingDown {
			if s.stopAll() {
				return
			}
			continue
		}
		s.advanceRollout()
		for _, m := range s.members {
			s.startIfDown(m)
		}
		s.writeState()
	}
}

// startIfDown starts an instance that is down, once the wait after its last exit is over.
func (s *Supervisor) startIfDown(m *member) {
	if m.phase != rollout.Down || m.pid > 0 {
		return
	}
	if m.adopt(s.ctx) { // launched by an earlier supervisor, and it has claimed its folder only now
		return
	}
	if time.Now().Before(m.retryAt) {
		return
	}
	if err := m.start(); err != nil {
		m.retryAt = time.Now().Add(m.restartBackoff.NextBackOff())
		s.log.Error("instance not started", "instance", m.name, "err", err)
	}
}

// stopAll asks all instances to end; it returns true once none runs.
func (s *Supervisor) stopAll() bool {
	running := 0
	for _, m := range s.members {
		if m.pid > 0 {
			m.stop()
			running++
		}
	}
	return running == 0
}

// writeState stores the state if it has changed.
func (s *Supervisor) writeState() {
	text, err := json.MarshalIndent(s.state, "", " ")
	if err != nil || string(text) == s.lastWritten {
		return
	}
	if err := replaceFile(filepath.Join(s.spec.Dir, stateFile), text); err != nil {
		s.log.Error("state not written", "err", err)
		return
	}
	s.lastWritten = string(text)
}
