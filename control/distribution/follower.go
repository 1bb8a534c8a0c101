package distribution

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"time"
)

// FollowerConfig is what an instance's side needs to know.
type FollowerConfig struct {
	Member, Zone, Fleet string
	Keys                []ed25519.PublicKey
	// MaxAge is how old what is known may be before the instance counts as stale, StageAge how old it may be for a new
	// release to be applied: a release that was halted meanwhile must not be.
	MaxAge, StageAge time.Duration
}

// neverHeard is the age of what is known by an instance that has heard no server.
const unknownAge = time.Duration(1<<63 - 1)

// The reasons for which a server is left for another one.
var (
	ErrStaleServer = errors.New("the server is behind what is known")
	ErrConflict    = errors.New("two releases of one version")
	ErrMismatch    = errors.New("the release is not the one that was told")
)

// Follower decides for one instance which release it runs. It is not safe for concurrent use.
type Follower struct {
	config         FollowerConfig
	held           map[Version]verifiedRelease // verified: the newest, the running and the last good one
	newest         Version
	running        Version
	head           Head // the last one that counts
	headReceivedAt int64
	headReceived   bool
	failedVersion  Version // could not be applied
	failureDetail  string
}

// heldRelease is a release with its digest, which each answer of a server is held against.
type verifiedRelease struct {
	Release
	digest Digest
}

// NewFollower makes the state of an instance that runs a release of before, or none (nil), and knows of a newest version.
func NewFollower(config FollowerConfig, running *Release, newest Version) *Follower {
	f := &Follower{config: config, held: map[Version]verifiedRelease{}, newest: newest}
	if running != nil && running.Verify(config.Fleet, config.Keys) == nil {
		f.held[running.Version] = verifiedRelease{*running, running.Digest()}
		f.running, f.newest = running.Version, max(newest, running.Version)
	}
	return f
}

// Hear takes a server's head. An error tells why that server is not to be followed; nothing changes then. A version that
// the instance does not have yet counts only once its release was fetched and stands the test.
func (f *Follower) ReceiveHead(now int64, head Head) error {
	if head.Version < f.newest || head.LastGood > 0 && head.LastGood >= head.Version || head.Lag < 0 || head.Elapsed < 0 {
		return fmt.Errorf("%w: it tells version %d, known is %d", ErrStaleServer, head.Version, f.newest)
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

// Wanted is the release that is to be fetched next; 0: none.
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

// Take takes a release that was fetched. An error tells why it is refused, and its server is not to be followed.
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

// forget drops the releases that nothing leads back to.
func (f *Follower) dropUnused() {
	for version := range f.held {
		if version != f.head.Version && version != f.head.LastGood && version != f.running {
			delete(f.held, version)
		}
	}
}

// Next is the release that is to be applied now. Without a release, ok and version 0, the instance's own files alone are
// to be in force again.
func (f *Follower) NextToApply(now int64) (release Release, ok bool) {
	target := f.targetVersion(now)
	if target == f.running || target == f.failedVersion && target > 0 {
		return Release{}, false
	}
	if target == 0 {
		return Release{}, true
	}
	held, ok := f.held[target]
	return held.Release, ok
}

// target is the version that the instance is to run.
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

// Done takes what came of applying a version.
func (f *Follower) RecordResult(version Version, err error) {
	if err != nil {
		f.failedVersion, f.failureDetail = version, truncate(err.Error(), maxDetail)
		return
	}
	f.running, f.failedVersion, f.failureDetail = version, 0, ""
	f.dropUnused()
}

// Age is how old what the instance knows of the newest release is, by the longest way: since it heard its server, and since
// that server heard a majority of the others.
func (f *Follower) Age(now int64) time.Duration {
	if !f.headReceived {
		return unknownAge
	}
	return time.Duration(now-f.headReceivedAt) + f.head.Lag
}

// Newest is the newest version that is known and stood the test, Running the one that runs.
func (f *Follower) Newest() Version { return f.newest }

// Running is the version that is in force; 0: the instance's own files alone.
func (f *Follower) Running() Version { return f.running }

// RunningRelease is the release that is in force; nil: the instance's own files alone.
func (f *Follower) RunningRelease() *Release {
	held, ok := f.held[f.running]
	if !ok {
		return nil
	}
	return &held.Release
}

// Acknowledge is what the instance tells of itself.
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
