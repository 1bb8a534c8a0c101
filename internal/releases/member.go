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
	// rebalanceEvery is how long a server is followed before one is drawn anew, so that one that came back gets its part.
	rebalanceInterval = time.Minute
	// stageAge is how old what is known may be for a new release to be applied.
	stageAge = 3 * time.Second
	// memberFile holds what an instance keeps over its end.
	memberFile = "release.json"
)

// MemberOptions is what an instance's side needs to know.
type MemberOptions struct {
	Name, Zone, Fleet string
	Servers           []string
	Keys              []ed25519.PublicKey
	MaxAge            time.Duration
	Dir               string // where the release that runs is kept; empty: nowhere
	Seed              uint64
	Log               *slog.Logger
	// Apply puts a release in force; nil: the instance's own files alone. It changes nothing where it fails.
	Apply func(*distribution.Release) error
	Dial  func(ctx context.Context, network, addr string) (net.Conn, error) // nil: over TCP
}

// memberKept is what an instance keeps over its end.
type storedMember struct {
	Running *distribution.Release `json:"running,omitempty"`
	Newest  distribution.Version  `json:"newest"`
}

// Member follows the servers for one instance.
type Member struct {
	options    MemberOptions
	client     *Client
	fileWriter *fileWriter
	rng        *rand.Rand

	mu       sync.Mutex
	follower *distribution.Follower
	server   string // that is followed
}

// MemberStatus is what an instance tells of the releases that it follows.
type MemberStatus struct {
	distribution.Acknowledgement
	Server string `json:"server"`
	AgeMS  int64  `json:"age_ms"` // of what is known; -1: nothing is
}

// NewMember makes an instance's side. Run puts the release in force that ran before the instance's end.
func NewMember(options MemberOptions) *Member {
	m := &Member{options: options, client: NewClient(options.Dial), rng: rand.New(rand.NewPCG(options.Seed, 0x72656c))}
	var kept storedMember
	if options.Dir != "" {
		m.fileWriter = newFileWriter(filepath.Join(options.Dir, memberFile), options.Log)
		loadFile(m.fileWriter.path, &kept, options.Log)
	}
	m.follower = distribution.NewFollower(distribution.FollowerConfig{Member: options.Name, Zone: options.Zone, Fleet: options.Fleet,
		Keys: options.Keys, MaxAge: options.MaxAge, StageAge: min(stageAge, options.MaxAge)}, kept.Running, kept.Newest)
	return m
}

// restore puts the release in force that ran before the instance's end.
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
	m.options.Log.Error("release of before not in force", "reason", "unfit", "version", release.Version, "err", err)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.follower.RecordResult(0, nil)
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
			case <-time.After(time.Second): // a disk that hangs does not hold the end up
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
		m.client.Close() // none is kept to a server that is not followed
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

// reasonOf is the reason code of a server that is left.
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

// pick draws a server, another one than before where there is one.
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

// follow follows one server until it has to be left, or for rebalanceEvery or so.
func (m *Member) follow(ctx context.Context, server string) error {
	until := time.Now().Add(rebalanceInterval + rand.N(rebalanceInterval/2))
	for seen := ""; time.Now().Before(until); {
		m.mu.Lock()
		request := pollRequest{m.follower.Acknowledge(now()), seen}
		m.mu.Unlock()
		answer, err := m.client.poll(ctx, server, request)
		if err != nil {
			return err
		}
		seen = answer.Tag
		if err := m.handleHead(ctx, server, answer.Head); err != nil {
			return err
		}
		m.applyNext()
	}
	return nil
}

func now() int64 { return time.Now().UnixNano() }

// hear takes a server's head and fetches the releases that it leads to.
func (m *Member) handleHead(ctx context.Context, server string, head distribution.Head) error {
	m.mu.Lock()
	err := m.follower.ReceiveHead(now(), head)
	wanted := m.follower.Wanted()
	m.mu.Unlock()
	for err == nil && wanted > 0 {
		release, fetchErr := m.client.Fetch(ctx, server, wanted)
		if errors.Is(fetchErr, ErrNotFound) && wanted != head.Version {
			return nil // the server copies it still
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

// advance puts the release in force whose turn it is.
func (m *Member) applyNext() {
	m.mu.Lock()
	release, due := m.follower.NextToApply(now())
	m.mu.Unlock()
	if !due {
		return
	}
	var err error
	if release.Version == 0 {
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

// keep has the state written that outlives the instance.
func (m *Member) save() {
	if m.fileWriter == nil {
		return
	}
	m.fileWriter.enqueue(storedMember{Running: m.follower.RunningRelease(), Newest: m.follower.Newest()})
}

// Status is what the instance knows.
func (m *Member) Status() MemberStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := MemberStatus{Acknowledgement: m.follower.Acknowledge(now()), Server: m.server, AgeMS: -1}
	if age := m.follower.Age(now()); age < 1<<62 {
		s.AgeMS = age.Milliseconds()
	}
	return s
}
