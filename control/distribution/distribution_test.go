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

// testKey is the operators' key, strangerKey one that nobody knows.
var testKey, unknownKey = newKey(1), newKey(2)

func newKey(b byte) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	seed[0] = b
	return ed25519.NewKeyFromSeed(seed)
}

func publicKeys() []ed25519.PublicKey {
	return []ed25519.PublicKey{testKey.Public().(ed25519.PublicKey)}
}

// newRelease is a release that zone a takes at once and all others after 4 s.
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

// follow has an instance hear a server, fetch what it wants and apply what is due; apply tells what comes of that.
func follow(t *testing.T, f *Follower, r *Replica, now int64, apply func(Release) error) {
	t.Helper()
	if err := f.ReceiveHead(now, r.Head(now)); err != nil {
		t.Fatal(err)
	}
	for v := f.Wanted(); v > 0; v = f.Wanted() {
		release := r.Release(v)
		if release == nil {
			t.Fatalf("version %d is wanted, and the server has it not", v)
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
	stranger := newRelease(1, "x")
	stranger.Sign(unknownKey)
	changed := newRelease(1, "x")
	changed.Content = []byte("y")
	other := newRelease(1, "x")
	other.Fleet = "another"
	other.Sign(testKey)
	noRest := Release{Fleet: testFleet, Version: 1, Stages: []Stage{{Zones: []string{"a"}}}}
	noRest.Sign(testKey)
	large := newRelease(1, strings.Repeat("x", MaxContent+1))
	for name, tc := range map[string]struct {
		release Release
		want    error
	}{"a stranger's": {stranger, ErrUnsigned}, "changed": {changed, ErrUnsigned}, "another fleet's": {other, ErrWrongFleet},
		"no stage for the rest": {noRest, ErrOutOfBounds}, "too large": {large, ErrOutOfBounds}, "version 0": {newRelease(0, ""), ErrOutOfBounds}} {
		if err := newReplica("s1").Publish(0, tc.release); !errors.Is(err, tc.want) {
			t.Errorf("%s: %v", name, err)
		}
		f := newFollower("a")
		f.ReceiveHead(0, Head{Version: max(tc.release.Version, 1), Digest: tc.release.Digest()})
		if err := f.ReceiveRelease(0, tc.release); err == nil {
			t.Errorf("%s: an instance takes it", name)
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

// One instance that cannot apply a release halts it: those that run it go back, and the rest never take it.
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
	publish(t, r, 20*second, newRelease(3, "three")) // at once: the one before is halted
	follow(t, a, r, 20*second, applySucceeds)
	if a.Running() != 3 || r.Head(20*second).LastGood != 1 {
		t.Error(a.Running(), r.Head(20*second))
	}
}

// The first release of all that is halted leaves instances with their own files.
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

// A server that is behind, or that tells a release that it does not have, is left, and changes nothing.
func TestStaleAndConflictingServersAreRefused(t *testing.T) {
	r, f := newReplica("s1"), newFollower("a")
	publish(t, r, 0, newRelease(5, "five"))
	follow(t, f, r, 0, applySucceeds)
	old := newReplica("s2")
	publish(t, old, 0, newRelease(4, "four"))
	if err := f.ReceiveHead(second, old.Head(second)); !errors.Is(err, ErrStaleServer) {
		t.Error(err)
	}
	twin := newReplica("s3")
	publish(t, twin, 0, newRelease(5, "another five"))
	if err := f.ReceiveHead(second, twin.Head(second)); !errors.Is(err, ErrConflict) {
		t.Error(err)
	}
	if err := f.ReceiveHead(9*second, Head{Version: 900}); err != nil || f.Wanted() != 900 {
		t.Error(err, f.Wanted())
	}
	if err := f.ReceiveRelease(9*second, newRelease(900, "not the one")); !errors.Is(err, ErrMismatch) {
		t.Error(err)
	}
	if got := f.Age(9 * second); got != 9*time.Second {
		t.Error("words about a release that nobody has shown count as news", got)
	}
	if f.Running() != 5 || f.Newest() != 5 {
		t.Error(f.Running(), f.Newest())
	}
}

// Nothing heard, or heard from a server that is cut off from the others: what runs goes on, nothing new is applied, and the
// age is told.
func TestAgeAndLag(t *testing.T) {
	r, f := newReplica("s1", "s2", "s3"), newFollower("b")
	publish(t, r, 0, newRelease(1, "one"))
	r.ReceiveServerHead(0, Head{Server: "s2"})
	follow(t, f, r, 2*second, applySucceeds)
	if got := f.Age(3 * second); got != 3*time.Second { // 2 s since s1 heard a majority, and 1 s since s1 was heard
		t.Error(got)
	}
	follow(t, f, r, 8*second, applySucceeds) // its turn came at 4 s, but the server has heard no majority for 8 s
	if f.Running() != 0 || f.Acknowledge(8*second).State != Waiting || f.Acknowledge(11*second).State != Stale {
		t.Error(f.Running(), f.Acknowledge(8*second), f.Acknowledge(11*second))
	}
	r.ReceiveServerHead(12*second, Head{Server: "s3"})
	follow(t, f, r, 12*second, applySucceeds)
	if f.Running() != 1 {
		t.Error("healed, and it does not run the release")
	}
	if r := NewReplica(ReplicaConfig{Name: "s1", OtherServers: []string{"s2"}}, StoredState{}); r.Head(0).Lag < time.Hour {
		t.Error("a server that never heard another tells no lag")
	}
}

// Two operators publish one version at two servers: both are given up.
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

// What a server and an instance keep over their ends is taken up.
func TestStateSurvivesRestart(t *testing.T) {
	r, f := newReplica("s1"), newFollower("a")
	publish(t, r, 0, newRelease(1, "one"))
	publish(t, r, 10*second, newRelease(2, "two"))
	follow(t, f, r, 10*second, applySucceeds)
	again := NewReplica(r.config, r.StoredState())
	if head := again.Head(12 * second); head.Version != 2 || head.LastGood != 1 || head.Elapsed != 2*time.Second {
		t.Errorf("%+v", head)
	}
	back := NewFollower(f.config, f.RunningRelease(), f.Newest())
	if back.Running() != 2 || back.Acknowledge(0).State != Stale {
		t.Errorf("%+v", back.Acknowledge(0))
	}
	forged := newRelease(3, "three")
	forged.Sign(unknownKey)
	if back := NewFollower(f.config, &forged, 2); back.Running() != 0 || back.Newest() != 2 {
		t.Errorf("%+v", back.Acknowledge(0))
	}
	if again := NewReplica(r.config, StoredState{Newest: &forged}); again.Head(0).Version != 0 {
		t.Error("a release that no key has signed is taken up")
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

// Servers and instances that hear each other at random, with releases, failures and cuts among them: no instance ever runs
// what was not signed, one that was halted before its stage, or a version older than one that it gave up for nothing.
func TestRandomOrderConverges(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		names := []string{"s1", "s2", "s3"}
		var servers []*Replica
		for k, name := range names {
			others := append(append([]string{}, names[:k]...), names[k+1:]...)
			servers = append(servers, newReplica(name, others...))
		}
		var all []*Follower
		for n := range 6 {
			f := newFollower([]string{"a", "b"}[n%2])
			f.config.Member = fmt.Sprint("m", n)
			all = append(all, f)
		}
		bad := Version(rng.IntN(6))
		published := map[Version]int64{}
		version := Version(0)
		now := int64(0)
		sync := func(from, to *Replica) {
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
		step := func(f *Follower, r *Replica) {
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
			if release.Version == bad && release.Version > 0 {
				err = errors.New("bad")
			} else if release.Version > f.Running() && now-published[release.Version] < int64(release.stageDelay(f.config.Zone)) {
				t.Fatalf("seed %d: %s takes %d too early", seed, f.config.Member, release.Version)
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
				sync(servers[rng.IntN(len(servers))], r)
			default:
				step(all[rng.IntN(len(all))], r)
			}
		}
		for range 4 * len(servers) { // all hear all, in the end
			now += second
			for _, from := range servers {
				for _, to := range servers {
					if from != to {
						sync(from, to)
					}
				}
			}
			for n, f := range all {
				step(f, servers[n%len(servers)])
			}
		}
		head := servers[0].Head(now)
		want := head.Version
		if head.Halted != "" {
			want = head.LastGood
		}
		for _, f := range all {
			if f.Running() != want || f.Running() == bad && bad > 0 {
				t.Fatalf("seed %d: %s runs %d, wanted %d (head %+v, bad %d)", seed, f.config.Member, f.Running(), want, head, bad)
			}
		}
	}
}

// A server that had not heard of a halt when the next release came takes the halted one for good, until it hears a server that
// knows better; then it fetches the release that is good.
func TestLowerLastGoodVersionWins(t *testing.T) {
	knows, missed := newReplica("s1", "s2"), newReplica("s2", "s1")
	for _, r := range []*Replica{knows, missed} {
		publish(t, r, 0, newRelease(1, "one"))
		publish(t, r, 10*second, newRelease(2, "two"))
	}
	order := HaltOrder{Fleet: testFleet, Version: 2}
	order.Sign(testKey)
	if err := knows.Halt(order); err != nil {
		t.Fatal(err)
	}
	for _, r := range []*Replica{knows, missed} {
		publish(t, r, 20*second, newRelease(3, "three"))
	}
	if knows.Head(20*second).LastGood != 1 || missed.Head(20*second).LastGood != 2 {
		t.Fatal(knows.Head(20*second), missed.Head(20*second))
	}
	if wanted := missed.ReceiveServerHead(21*second, knows.Head(21*second)); wanted != 1 {
		t.Errorf("it fetches version %d", wanted)
	}
	if err := missed.CopyLastGood(*knows.Release(1)); err != nil {
		t.Fatal(err)
	}
	if wanted := knows.ReceiveServerHead(21*second, missed.Head(21*second)); wanted != 0 || missed.Head(21*second).LastGood != 1 || missed.Release(1) == nil {
		t.Error(wanted, missed.Head(21*second))
	}
}
