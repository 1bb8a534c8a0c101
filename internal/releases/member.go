package releases

import (
	"context"
	"crypto/ed25519"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"path/filepath"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"masthill/control/distribution"
)

const (
	// firstRetry and maxRetry bound the pause before the next server is tried.
	firstRetry, maxRetry = 100 * time.Millisecond, time.Second
	// rebalanceInterval is how long a server is followed before another one is drawn, so that a server that has come
	// back gets its share of the instances.
	rebalanceInterval = time.Minute
	// stageAge is how old the known state (see distribution.Follower.Age) may be for a new release to be applied: an
	// older one may miss that the release has been halted.
	stageAge = 3 * time.Second
	// memberFile is the file with the state that outlives an instance's process.
	memberFile = "release.json"
)

// MemberOptions configures a Member.
type MemberOptions struct {
	Name, Zone, Fleet string
	Servers           []string
	Keys              []ed25519.PublicKey
	MaxAge            time.Duration
	Dir               string // where the running release is stored; empty: it is not stored
	Seed              uint64
	Log               *slog.Logger
	// Apply puts a release in force; nil: only the instance's own files. If it fails, it must change nothing.
	Apply func(*distribution.Release) error
	Dial  func(ctx context.Context, network, addr string) (net.Conn, error) // nil: over TCP
}

// storedMember is the state that outlives an instance's process.
type storedMember struct {
	Running *distribution.Release `json:"running,omitempty"`
	Newest  distribution.Version  `json:"newest"`
}

// Member follows the servers on behalf of one instance.
type Member struct {
	options    MemberOptions
	client     *Client
	fileWriter *fileWriter
	rng        *rand.Rand

	mu       sync.Mutex
	follower *distribution.Follower
	server   string // the server that is followed
}

// MemberStatus describes an instance and the server that it follows.
type MemberStatus struct {
	distribution.Acknowledgement
	Server string `json:"server"`
	AgeMS  int64  `json:"age_ms"` // of the known state, see distribution.Follower.Age; -1: nothing is known
}

// NewMember creates a Member from the stored state. Run then applies the release that was running before the restart.
func NewMember(options MemberOptions) *Member {
	m := &Member{options: options, client: NewClient(options.Dial), rng: rand.New(rand.NewPCG(options.Seed, 0x72656c))}
	var stored storedMember
	if options.Dir != "" {
		m.fileWriter = newFileWriter(filepath.Join(options.Dir, memberFile), options.Log)
		loadFile(m.fileWriter.path, &stored, options.Log)
	}
	m.follower = distribution.NewFollower(distribution.FollowerConfig{Member: options.Name, Zone: options.Zone, Fleet: options.Fleet,
		Keys: options.Keys, MaxAge: options.MaxAge, StageAge: min(stageAge, options.MaxAge)}, stored.Running, stored.Newest)
	return m
}

// applyStored applies the release that was running before the restart.
func (m *Member) applyStored() {
	m.mu.Lock()
	release := m.follower.RunningRelease()
	m.mu.Unlock()
	if release == nil {
		return
	}
	err := m.options.Apply(release)
	if err == nil {
		m.options.Log.Info("release in force", "version", release.Version, "before", "the same")
		return
	}
	m.options.Log.Error("stored release not in force", "reason", "unfit", "version", release.Version, "err", err)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.follower.RecordResult(0, nil) // no release is in force, only the instance's own files
	m.follower.RecordResult(release.Version, err)
}

// Run follows the servers until ctx ends.
func (m *Member) Run(ctx context.Context) error {
	m.applyStored()
	if m.fileWriter != nil {
		done := make(chan struct{})
		go func() { defer close(done); m.fileWriter.run(ctx.Done()) }()
		defer func() {
			select {
			case <-done:
			case <-time.After(time.Second): // a hanging disk must not delay the shutdown
			}
		}()
	}
	defer m.client.Close()
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstRetry, maxRetry
	for ctx.Err() == nil {
		server := m.pickServer()
		began := time.Now()
		err := m.follow(ctx, server)
		m.client.Close() // keep no connection to a server that is not followed
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			continue
		}
		m.options.Log.Warn("configuration server left", "reason", reasonCode(err), "server", server, "err", err)
		if time.Since(began) > maxRetry {
			pause.Reset()
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause.NextBackOff()):
		}
	}
	return nil
}

// reasonCode returns the reason code that is logged when a server is left because of err.
func reasonCode(err error) string {
	switch {
	case errors.Is(err, distribution.ErrStaleServer):
		return "stale"
	case errors.Is(err, distribution.ErrConflict):
		return "conflict"
	case errors.Is(err, distribution.ErrUnsigned), errors.Is(err, distribution.ErrMismatch), errors.Is(err, distribution.ErrWrongFleet),
		errors.Is(err, distribution.ErrOutOfBounds):
		return "forged"
	}
	return "lost"
}

// pickServer draws a server at random, another one than before if there is one.
func (m *Member) pickServer() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := m.options.Servers[m.rng.IntN(len(m.options.Servers))]
	for next == m.server && len(m.options.Servers) > 1 {
		next = m.options.Servers[m.rng.IntN(len(m.options.Servers))]
	}
	m.server = next
	return next
}

// follow follows one server until it has to be left, or for one to one and a half times rebalanceInterval.
func (m *Member) follow(ctx context.Context, server string) error {
	until := time.Now().Add(rebalanceInterval + rand.N(rebalanceInterval/2))
	for seen := ""; time.Now().Before(until); {
		m.mu.Lock()
		request := pollRequest{m.follower.Acknowledge(now()), seen}
		m.mu.Unlock()
		response, err := m.client.poll(ctx, server, request)
		if err != nil {
			return err
		}
		seen = response.Tag
		if err := m.handleHead(ctx, server, response.Head); err != nil {
			return err
		}
		m.applyNext()
	}
	return nil
}

func now() int64 { return time.Now().UnixNano() }

// handleHead processes a server's head, which describes its newest release, and fetches the releases that it requires.
func (m *Member) handleHead(ctx context.Context, server string, head distribution.Head) error {
	m.mu.Lock()
	err := m.follower.ReceiveHead(now(), head)
	wanted := m.follower.Wanted()
	m.mu.Unlock()
	for err == nil && wanted > 0 {
		release, fetchErr := m.client.Fetch(ctx, server, wanted)
		if errors.Is(fetchErr, ErrNotFound) && wanted != head.Version {
			return nil // the server has not copied it yet
		}
		if fetchErr != nil {
			return fetchErr
		}
		m.mu.Lock()
		err = m.follower.ReceiveRelease(now(), release)
		wanted = m.follower.Wanted()
		m.save()
		m.mu.Unlock()
	}
	return err
}

// applyNext applies the release that is due.
func (m *Member) applyNext() {
	m.mu.Lock()
	release, due := m.follower.NextToApply(now())
	m.mu.Unlock()
	if !due {
		return
	}
	var err error
	if release.Version == 0 { // back to the instance's own files
		err = m.options.Apply(nil)
	} else {
		err = m.options.Apply(&release)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.follower.Running()
	m.follower.RecordResult(release.Version, err)
	if err != nil {
		m.options.Log.Error("release not in force", "reason", "unfit", "version", release.Version, "kept", before, "err", err)
		return
	}
	m.options.Log.Info("release in force", "version", release.Version, "before", before)
	m.save()
}

// save schedules the state that outlives the process to be written.
func (m *Member) save() {
	if m.fileWriter == nil {
		return
	}
	m.fileWriter.enqueue(storedMember{Running: m.follower.RunningRelease(), Newest: m.follower.Newest()})
}

// Status returns what the instance knows.
func (m *Member) Status() MemberStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := MemberStatus{Acknowledgement: m.follower.Acknowledge(now()), Server: m.server, AgeMS: -1}
	if age := m.follower.Age(now()); age < 1<<62 {
		s.AgeMS = age.Milliseconds()
	}
	return s
}
