package distribution

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

const (
	testFleet = "harvest"
	second    = int64(time.Second)
)

// testKey is the operators' key, unknownKey a key that is not configured anywhere.
var testKey, unknownKey = newKey(1), newKey(2)

func newKey(b byte) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	seed[0] = b
	return ed25519.NewKeyFromSeed(seed)
}

func publicKeys() []ed25519.PublicKey {
	return []ed25519.PublicKey{testKey.Public().(ed25519.PublicKey)}
}

// newRelease makes a release that zone a applies at once and all other zones after 4 s.
func newRelease(version Version, content string) Release {
	r := Release{Fleet: testFleet, Version: version, Content: []byte(content),
		Stages: []Stage{{Zones: []string{"a"}}, {After: 4 * time.Second}}}
	r.Sign(testKey)
	return r
}

func newFollower(zone string) *Follower {
	return NewFollower(FollowerConfig{Member: "m-" + zone, Zone: zone, Fleet: testFleet, Keys: publicKeys(),
		MaxAge: 10 * time.Second, StageAge: 3 * time.Second}, nil, 0)
}

func newReplica(name string, others ...string) *Replica {
	return NewReplica(ReplicaConfig{Name: name, Fleet: testFleet, OtherServers: others, Keys: publicKeys(), HaltAfter: 1}, StoredState{})
}

// follow has an instance receive a server's head, fetch what it wants and apply what is due; apply returns the result.
func follow(t *testing.T, f *Follower, r *Replica, now int64, apply func(Release) error) {
	t.Helper()
	if err := f.ReceiveHead(now, r.Head(now)); err != nil {
		t.Fatal(err)
	}
	for v := f.Wanted(); v > 0; v = f.Wanted() {
		release := r.Release(v)
		if release == nil {
			t.Fatalf("version %d is wanted, but the server does not have it", v)
		}
		if err := f.ReceiveRelease(now, *release); err != nil {
			t.Fatal(err)
		}
	}
	if release, ok := f.NextToApply(now); ok {
		f.RecordResult(release.Version, apply(release))
	}
	r.Acknowledge(now, f.Acknowledge(now))
}

func applySucceeds(Release) error { return nil }

func publish(t *testing.T, r *Replica, now int64, release Release) {
	t.Helper()
	if err := r.Publish(now, release); err != nil {
		t.Fatal(err)
	}
}

func TestInvalidReleasesAreRefused(t *testing.T) {
	signedByUnknownKey := newRelease(1, "x")
	signedByUnknownKey.Sign(unknownKey)
	changedContent := newRelease(1, "x")
	changedContent.Content = []byte("y")
	otherFleet := newRelease(1, "x")
	otherFleet.Fleet = "another"
	otherFleet.Sign(testKey)
	noDefaultStage := Release{Fleet: testFleet, Version: 1, Stages: []Stage{{Zones: []string{"a"}}}}
	noDefaultStage.Sign(testKey)
	tooLarge := newRelease(1, strings.Repeat("x", MaxContent+1))
	for name, tc := range map[string]struct {
		release Release
		want    error
	}{"signed by an unknown key": {signedByUnknownKey, ErrUnsigned}, "changed": {changedContent, ErrUnsigned}, "another fleet's": {otherFleet, ErrWrongFleet},
		"no stage for other zones": {noDefaultStage, ErrOutOfBounds}, "too large": {tooLarge, ErrOutOfBounds}, "version 0": {newRelease(0, ""), ErrOutOfBounds}} {
		if err := newReplica("s1").Publish(0, tc.release); !errors.Is(err, tc.want) {
			t.Errorf("%s: %v", name, err)
		}
		f := newFollower("a")
		f.ReceiveHead(0, Head{Version: max(tc.release.Version, 1), Digest: tc.release.Digest()})
		if err := f.ReceiveRelease(0, tc.release); err == nil {
			t.Errorf("%s: an instance accepts it", name)
		}
	}
	order := HaltOrder{Fleet: testFleet, Version: 1}
	order.Sign(unknownKey)
	if err := newReplica("s1").Halt(order); !errors.Is(err, ErrUnsigned) {
		t.Error(err)
	}
}

func TestStages(t *testing.T) {
	r, a, b := newReplica("s1"), newFollower("a"), newFollower("b")
	publish(t, r, 0, newRelease(1, "one"))
	for now := int64(0); now < 4*second; now += second / 2 {
		follow(t, a, r, now, applySucceeds)
		follow(t, b, r, now, applySucceeds)
		if a.Running() != 1 || b.Running() != 0 {
			t.Fatalf("at %d: a runs %d, b %d", now, a.Running(), b.Running())
		}
	}
	follow(t, b, r, 4*second, applySucceeds)
	if b.Running() != 1 || b.Acknowledge(4*second).State != Applied {
		t.Errorf("%+v", b.Acknowledge(4*second))
	}
	if err := r.Publish(5*second, newRelease(2, "two")); !errors.Is(err, ErrRolloutInProgress) {
		t.Error(err)
	}
	publish(t, r, 6*second, newRelease(2, "two"))
	if err := r.Publish(20*second, newRelease(1, "other")); !errors.Is(err, ErrNotNewer) {
		t.Error(err)
	}
}

// One instance that fails to apply a release halts it: instances that run it roll back, and the others never apply it.
func TestAFailureHaltsTheRelease(t *testing.T) {
	r := newReplica("s1")
	a, a2, b := newFollower("a"), newFollower("a"), newFollower("b")
	a2.config.Member = "m-a2"
	publish(t, r, 0, newRelease(1, "one"))
	for _, f := range []*Follower{a, a2, b} {
		follow(t, f, r, 4*second, applySucceeds)
	}
	publish(t, r, 10*second, newRelease(2, "two"))
	follow(t, a, r, 10*second, applySucceeds)
	follow(t, a2, r, 10*second, func(Release) error { return errors.New("line 3: no such tenant") })
	if a.Running() != 2 || a2.Running() != 1 || a2.Acknowledge(10*second).State != Failed {
		t.Fatal(a.Running(), a2.Acknowledge(10*second))
	}
	for now := 11 * second; now < 20*second; now += second {
		for _, f := range []*Follower{a, a2, b} {
			follow(t, f, r, now, applySucceeds)
			if f.Running() != 1 {
				t.Fatalf("at %d %s runs %d", now/second, f.config.Member, f.Running())
			}
		}
	}
	if got := a.Acknowledge(20 * second); got.State != RolledBack || got.Newest != 2 {
		t.Errorf("%+v", got)
	}
	publish(t, r, 20*second, newRelease(3, "three")) // no waiting: the previous release is halted
	follow(t, a, r, 20*second, applySucceeds)
	if a.Running() != 3 || r.Head(20*second).LastGood != 1 {
		t.Error(a.Running(), r.Head(20*second))
	}
}

// If the first release is halted, instances return to their own files.
func TestHaltOfTheFirstReleaseRestoresOwnFiles(t *testing.T) {
	r, a := newReplica("s1"), newFollower("a")
	publish(t, r, 0, newRelease(1, "one"))
	follow(t, a, r, 0, applySucceeds)
	order := HaltOrder{Fleet: testFleet, Version: 1, Reason: "wrong"}
	order.Sign(testKey)
	if err := r.Halt(order); err != nil {
		t.Fatal(err)
	}
	follow(t, a, r, second, applySucceeds)
	if a.Running() != 0 || a.Acknowledge(second).State != RolledBack {
		t.Errorf("%+v", a.Acknowledge(second))
	}
}

// A server that is behind, that has a conflicting release, or that announces a release it does not have is refused, and
// changes nothing.
func TestStaleAndConflictingServersAreRefused(t *testing.T) {
	r, f := newReplica("s1"), newFollower("a")
	publish(t, r, 0, newRelease(5, "five"))
	follow(t, f, r, 0, applySucceeds)
	staleServer := newReplica("s2")
	publish(t, staleServer, 0, newRelease(4, "four"))
	if err := f.ReceiveHead(second, staleServer.Head(second)); !errors.Is(err, ErrStaleServer) {
		t.Error(err)
	}
	conflictingServer := newReplica("s3")
	publish(t, conflictingServer, 0, newRelease(5, "another five"))
	if err := f.ReceiveHead(second, conflictingServer.Head(second)); !errors.Is(err, ErrConflict) {
		t.Error(err)
	}
	if err := f.ReceiveHead(9*second, Head{Version: 900}); err != nil || f.Wanted() != 900 {
		t.Error(err, f.Wanted())
	}
	if err := f.ReceiveRelease(9*second, newRelease(900, "not the one")); !errors.Is(err, ErrMismatch) {
		t.Error(err)
	}
	if got := f.Age(9 * second); got != 9*time.Second {
		t.Error("a head whose release was not verified counts for the age", got)
	}
	if f.Running() != 5 || f.Newest() != 5 {
		t.Error(f.Running(), f.Newest())
	}
}

// An instance that receives nothing, or follows a server that is cut off from the others, keeps running its release, applies
// nothing new, and reports how old its knowledge is.
func TestAgeAndLag(t *testing.T) {
	r, f := newReplica("s1", "s2", "s3"), newFollower("b")
	publish(t, r, 0, newRelease(1, "one"))
	r.ReceiveServerHead(0, Head{Server: "s2"})
	follow(t, f, r, 2*second, applySucceeds)
	if got := f.Age(3 * second); got != 3*time.Second { // 2 s of lag of s1, and 1 s since the head of s1
		t.Error(got)
	}
	follow(t, f, r, 8*second, applySucceeds) // due since 4 s, but the server's lag is 8 s
	if f.Running() != 0 || f.Acknowledge(8*second).State != Waiting || f.Acknowledge(11*second).State != Stale {
		t.Error(f.Running(), f.Acknowledge(8*second), f.Acknowledge(11*second))
	}
	r.ReceiveServerHead(12*second, Head{Server: "s3"})
	follow(t, f, r, 12*second, applySucceeds)
	if f.Running() != 1 {
		t.Error("the release is not applied after the server is in touch with a majority again")
	}
	if r := NewReplica(ReplicaConfig{Name: "s1", OtherServers: []string{"s2"}}, StoredState{}); r.Head(0).Lag < time.Hour {
		t.Error("a server that was never in touch with another reports no lag")
	}
}

// If different releases of one version are published at two servers, both are halted.
func TestConflictingReleasesAreHalted(t *testing.T) {
	one, two := newReplica("s1", "s2"), newReplica("s2", "s1")
	publish(t, one, 0, newRelease(1, "one"))
	publish(t, two, 0, newRelease(1, "another"))
	one.ReceiveServerHead(second, two.Head(second))
	two.ReceiveServerHead(second, one.Head(second))
	if one.Head(second).Halted == "" || two.Head(second).Halted == "" {
		t.Error(one.Head(second), two.Head(second))
	}
}

// Servers and instances restore their state after a restart; releases with an invalid signature are dropped.
func TestStateSurvivesRestart(t *testing.T) {
	r, f := newReplica("s1"), newFollower("a")
	publish(t, r, 0, newRelease(1, "one"))
	publish(t, r, 10*second, newRelease(2, "two"))
	follow(t, f, r, 10*second, applySucceeds)
	restoredReplica := NewReplica(r.config, r.StoredState())
	if head := restoredReplica.Head(12 * second); head.Version != 2 || head.LastGood != 1 || head.Elapsed != 2*time.Second {
		t.Errorf("%+v", head)
	}
	restoredFollower := NewFollower(f.config, f.RunningRelease(), f.Newest())
	if restoredFollower.Running() != 2 || restoredFollower.Acknowledge(0).State != Stale {
		t.Errorf("%+v", restoredFollower.Acknowledge(0))
	}
	forged := newRelease(3, "three")
	forged.Sign(unknownKey)
	if restoredFollower := NewFollower(f.config, &forged, 2); restoredFollower.Running() != 0 || restoredFollower.Newest() != 2 {
		t.Errorf("%+v", restoredFollower.Acknowledge(0))
	}
	if restoredReplica := NewReplica(r.config, StoredState{Newest: &forged}); restoredReplica.Head(0).Version != 0 {
		t.Error("a release with an invalid signature is restored")
	}
}

func TestMembersAreBounded(t *testing.T) {
	r := newReplica("s1")
	for n := range maxMembers + 10 {
		r.Acknowledge(0, Acknowledgement{Member: fmt.Sprint(n)})
	}
	r.Acknowledge(0, Acknowledgement{Member: strings.Repeat("x", MaxNameLength+1)})
	if n := len(r.Status(0).Members); n != maxMembers {
		t.Error(n)
	}
	r.Acknowledge(int64(memberRetention)+1, Acknowledgement{Member: "late"})
	if n := len(r.Status(int64(memberRetention) + 1).Members); n != 1 {
		t.Error(n)
	}
}

// Servers and instances exchange heads and releases in random order, among publications and releases that fail to apply: no
// zone applies a release before its stage, and in the end all instances run the newest release, or the last good one if that
// is halted, and never the bad one.
func TestRandomOrderConverges(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		names := []string{"s1", "s2", "s3"}
		var servers []*Replica
		for k, name := range names {
			others := append(append([]string{}, names[:k]...), names[k+1:]...)
			servers = append(servers, newReplica(name, others...))
		}
		var followers []*Follower
		for n := range 6 {
			f := newFollower([]string{"a", "b"}[n%2])
			f.config.Member = fmt.Sprint("m", n)
			followers = append(followers, f)
		}
		badVersion := Version(rng.IntN(6))
		published := map[Version]int64{}
		version := Version(0)
		now := int64(0)
		exchangeHeads := func(from, to *Replica) {
			head := from.Head(now)
			switch wanted := to.ReceiveServerHead(now, head); wanted {
			case 0:
			case head.Version:
				to.Copy(now, *from.Release(wanted), head)
			default:
				if release := from.Release(wanted); release != nil {
					to.CopyLastGood(*release)
				}
			}
		}
		followOnce := func(f *Follower, r *Replica) {
			if f.ReceiveHead(now, r.Head(now)) != nil {
				return
			}
			for v := f.Wanted(); v > 0 && r.Release(v) != nil; v = f.Wanted() {
				if f.ReceiveRelease(now, *r.Release(v)) != nil {
					break
				}
			}
			release, ok := f.NextToApply(now)
			if !ok {
				return
			}
			var err error
			if release.Version == badVersion && release.Version > 0 {
				err = errors.New("bad")
			} else if release.Version > f.Running() && now-published[release.Version] < int64(release.stageDelay(f.config.Zone)) {
				t.Fatalf("seed %d: %s applies %d too early", seed, f.config.Member, release.Version)
			}
			f.RecordResult(release.Version, err)
			r.Acknowledge(now, f.Acknowledge(now))
		}
		for range 400 {
			now += rng.Int64N(second / 2)
			r := servers[rng.IntN(len(servers))]
			switch rng.IntN(20) {
			case 0:
				if release := newRelease(version+1, "x"); version < 6 && r.Publish(now, release) == nil {
					version++
					published[version] = now
				}
			case 1, 2, 3, 4:
				exchangeHeads(servers[rng.IntN(len(servers))], r)
			default:
				followOnce(followers[rng.IntN(len(followers))], r)
			}
		}
		for range 4 * len(servers) { // finally, all servers and instances are in touch
			now += second
			for _, from := range servers {
				for _, to := range servers {
					if from != to {
						exchangeHeads(from, to)
					}
				}
			}
			for n, f := range followers {
				followOnce(f, servers[n%len(servers)])
			}
		}
		head := servers[0].Head(now)
		want := head.Version
		if head.Halted != "" {
			want = head.LastGood
		}
		for _, f := range followers {
			if f.Running() != want || f.Running() == badVersion && badVersion > 0 {
				t.Fatalf("seed %d: %s runs %d, wanted %d (head %+v, bad %d)", seed, f.config.Member, f.Running(), want, head, badVersion)
			}
		}
	}
}

// A server that missed the halt of a release considers it good when the next one is published. It learns the lower last good
// version from a server that knows of the halt, and fetches that release.
func TestLowerLastGoodVersionWins(t *testing.T) {
	informed, uninformed := newReplica("s1", "s2"), newReplica("s2", "s1")
	for _, r := range []*Replica{informed, uninformed} {
		publish(t, r, 0, newRelease(1, "one"))
		publish(t, r, 10*second, newRelease(2, "two"))
	}
	order := HaltOrder{Fleet: testFleet, Version: 2}
	order.Sign(testKey)
	if err := informed.Halt(order); err != nil {
		t.Fatal(err)
	}
	for _, r := range []*Replica{informed, uninformed} {
		publish(t, r, 20*second, newRelease(3, "three"))
	}
	if informed.Head(20*second).LastGood != 1 || uninformed.Head(20*second).LastGood != 2 {
		t.Fatal(informed.Head(20*second), uninformed.Head(20*second))
	}
	if wanted := uninformed.ReceiveServerHead(21*second, informed.Head(21*second)); wanted != 1 {
		t.Errorf("wanted version is %d", wanted)
	}
	if err := uninformed.CopyLastGood(*informed.Release(1)); err != nil {
		t.Fatal(err)
	}
	if wanted := informed.ReceiveServerHead(21*second, uninformed.Head(21*second)); wanted != 0 || uninformed.Head(21*second).LastGood != 1 || uninformed.Release(1) == nil {
		t.Error(wanted, uninformed.Head(21*second))
	}
}
