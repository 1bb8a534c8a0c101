package distribution

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"time"
)

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Member, Zone, Fleet string
	Keys                []ed25519.PublicKey
	// MaxAge is the age of the known state from which the instance counts as stale. StageAge is the greatest age at which
	// a new release is still applied, because an older state may miss that the release has been halted.
	MaxAge, StageAge time.Duration
}

// unknownAge is the age reported before any head has been received.
const unknownAge = time.Duration(1<<63 - 1)

// The errors for which an instance leaves a server and tries another one.
var (
	ErrStaleServer = errors.New("the server is behind")
	ErrConflict    = errors.New("two releases of one version")
	ErrMismatch    = errors.New("the release is not the announced one")
)

// Follower decides which release one instance runs. It is not safe for concurrent use.
type Follower struct {
	config         FollowerConfig
	held           map[Version]verifiedRelease // verified releases: newest, running and last good
	newest         Version
	running        Version
	head           Head // the last one accepted
	headReceivedAt int64
	headReceived   bool
	failedVersion  Version // the version that could not be applied; 0: none
	failureDetail  string
}

// verifiedRelease is a release with its digest, which the digest of each received head is compared with.
type verifiedRelease struct {
	Release
	digest Digest
}

// NewFollower creates the state of an instance that was running the given release (nil: none) and that knows of versions
// up to newest.
func NewFollower(config FollowerConfig, running *Release, newest Version) *Follower {
	f := &Follower{config: config, held: map[Version]verifiedRelease{}, newest: newest}
	if running != nil && running.Verify(config.Fleet, config.Keys) == nil {
		f.held[running.Version] = verifiedRelease{*running, running.Digest()}
		f.running, f.newest = running.Version, max(newest, running.Version)
	}
	return f
}

// ReceiveHead processes the head of a server. If it returns an error, nothing has changed and the server should be left. A
// version that the instance does not have yet becomes the newest one only once its release has been fetched and verified.
func (f *Follower) ReceiveHead(now int64, head Head) error {
	if head.Version < f.newest || head.LastGood > 0 && head.LastGood >= head.Version || head.Lag < 0 || head.Elapsed < 0 {
		return fmt.Errorf("%w: its newest version is %d, the known one is %d", ErrStaleServer, head.Version, f.newest)
	}
	release, held := f.held[head.Version]
	if held && release.digest != head.Digest {
		return fmt.Errorf("%w: version %d", ErrConflict, head.Version)
	}
	f.head = head
	if held || head.Version == 0 {
		f.headReceivedAt, f.headReceived = now, true
	}
	return nil
}

// Wanted returns the version of the release to fetch next; 0: none.
func (f *Follower) Wanted() Version {
	if _, ok := f.held[f.head.Version]; !ok && f.head.Version > 0 {
		return f.head.Version
	}
	if f.head.Halted == "" || f.running == f.head.LastGood {
		return 0
	}
	if _, ok := f.held[f.head.LastGood]; !ok {
		return f.head.LastGood
	}
	return 0
}

// ReceiveRelease stores a fetched release. If it returns an error, the release is refused and its server should be left.
func (f *Follower) ReceiveRelease(now int64, release Release) error {
	if err := release.Verify(f.config.Fleet, f.config.Keys); err != nil {
		return err
	}
	digest := release.Digest()
	switch release.Version {
	case f.head.Version:
		if digest != f.head.Digest {
			return fmt.Errorf("%w: version %d", ErrMismatch, release.Version)
		}
		f.newest, f.headReceivedAt, f.headReceived = release.Version, now, true
	case f.head.LastGood:
	default:
		return fmt.Errorf("%w: version %d", ErrMismatch, release.Version)
	}
	f.held[release.Version] = verifiedRelease{release, digest}
	f.dropUnused()
	return nil
}

// dropUnused removes the releases that are neither the newest, the last good nor the running one.
func (f *Follower) dropUnused() {
	for version := range f.held {
		if version != f.head.Version && version != f.head.LastGood && version != f.running {
			delete(f.held, version)
		}
	}
}

// NextToApply returns the release to apply now; ok is false if there is none. A release of version 0 with ok means that
// the instance returns to its own configuration files.
func (f *Follower) NextToApply(now int64) (release Release, ok bool) {
	targetVersion := f.targetVersion(now)
	if targetVersion == f.running || targetVersion == f.failedVersion && targetVersion > 0 {
		return Release{}, false
	}
	if targetVersion == 0 {
		return Release{}, true
	}
	held, ok := f.held[targetVersion]
	return held.Release, ok
}

// targetVersion returns the version that the instance should run now.
func (f *Follower) targetVersion(now int64) Version {
	newest, ok := f.held[f.head.Version]
	if !f.headReceived || !ok || f.Age(now) > f.config.StageAge {
		return f.running
	}
	if f.head.Halted != "" {
		return f.head.LastGood
	}
	if f.running == newest.Version {
		return f.running
	}
	elapsed := f.head.Elapsed + time.Duration(now-f.headReceivedAt)
	if elapsed < newest.stageDelay(f.config.Zone) {
		return f.running
	}
	return newest.Version
}

// RecordResult records the result of applying a version.
func (f *Follower) RecordResult(version Version, err error) {
	if err != nil {
		f.failedVersion, f.failureDetail = version, truncate(err.Error(), maxDetail)
		return
	}
	f.running, f.failedVersion, f.failureDetail = version, 0, ""
	f.dropUnused()
}

// Age returns the age of what the instance knows of the newest release: the time since it last received a head whose release
// it has, plus the time since that server was last in touch with a majority of the servers.
func (f *Follower) Age(now int64) time.Duration {
	if !f.headReceived {
		return unknownAge
	}
	return time.Duration(now-f.headReceivedAt) + f.head.Lag
}

// Newest returns the newest version whose release has been verified.
func (f *Follower) Newest() Version { return f.newest }

// Running returns the version in force; 0: only the instance's own files are.
func (f *Follower) Running() Version { return f.running }

// RunningRelease returns the release in force; nil: only the instance's own files are.
func (f *Follower) RunningRelease() *Release {
	held, ok := f.held[f.running]
	if !ok {
		return nil
	}
	return &held.Release
}

// Acknowledge returns the state that the instance reports to its server.
func (f *Follower) Acknowledge(now int64) Acknowledgement {
	return Acknowledgement{Member: f.config.Member, Zone: f.config.Zone, Newest: f.newest, Running: f.running, State: f.state(now), Detail: f.failureDetail}
}

func (f *Follower) state(now int64) State {
	switch {
	case !f.headReceived || f.Age(now) > f.config.MaxAge:
		return Stale
	case f.failedVersion > 0 && f.failedVersion == f.newest:
		return Failed
	case f.head.Halted != "" && f.running == f.head.LastGood:
		return RolledBack
	case f.running == f.newest:
		return Applied
	}
	return Waiting
}
