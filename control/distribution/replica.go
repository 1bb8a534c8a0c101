package distribution

import (
	"cmp"
	"crypto/ed25519"
	"errors"
	"fmt"
	"slices"
	"time"
)

const (
	// settleTime is how long after its last stage a release is watched before the next one may come, so that it is known
	// for good or bad by then.
	observationTime = 2 * time.Second
	// maxMembers bounds the instances whose acknowledgements are kept, retention how long one is kept without a word.
	maxMembers      = 4096
	memberRetention = 10 * time.Minute
	// noteNever is the lag of a server that has heard no majority yet.
	unknownLag = 24 * time.Hour
)

// ReplicaConfig is what a server needs to know.
type ReplicaConfig struct {
	Name, Fleet  string
	OtherServers []string // the other servers
	Keys         []ed25519.PublicKey
	// HaltAfter is how many instances that cannot apply a release halt it.
	HaltAfter int
}

// The reasons for which a server refuses a release.
var (
	ErrNotNewer          = errors.New("not newer than the newest release")
	ErrRolloutInProgress = errors.New("the release before it is under way")
)

// Kept is what a server keeps over its end.
type StoredState struct {
	Newest          *Release `json:"newest,omitempty"`
	LastGoodVersion Version  `json:"good_version"`   // the newest one before it that was not halted
	LastGood        *Release `json:"good,omitempty"` // nil: not copied from another server yet
	PublishedAt     int64    `json:"published_ns"`   // when the newest one was, by this server's clock
	Halted          string   `json:"halted,omitempty"`
}

// memberState is the last acknowledgement of an instance.
type memberState struct {
	Acknowledgement
	at int64
}

// otherServer is what was heard of another server.
type otherServer struct {
	head Head
	at   int64
}

// Replica is the state of one server. It is not safe for concurrent use.
type Replica struct {
	config  ReplicaConfig
	kept    StoredState
	digest  Digest // of the newest release: each question is answered with it
	members map[string]memberState
	others  map[string]otherServer
}

// NewReplica makes the state of a server from what it kept. Releases that no key has signed are left out.
func NewReplica(config ReplicaConfig, kept StoredState) *Replica {
	for _, release := range []**Release{&kept.Newest, &kept.LastGood} {
		if *release != nil && (*release).Verify(config.Fleet, config.Keys) != nil {
			*release = nil
		}
	}
	if kept.Newest == nil {
		kept = StoredState{}
	}
	r := &Replica{config: config, kept: kept, members: map[string]memberState{}, others: map[string]otherServer{}}
	if kept.Newest != nil {
		r.digest = kept.Newest.Digest()
	}
	return r
}

// Kept is what is to be kept over the server's end.
func (r *Replica) StoredState() StoredState { return r.kept }

// Publish takes a release from the operators.
func (r *Replica) Publish(now int64, release Release) error {
	if r.kept.Newest != nil && release.Digest() == r.digest {
		return nil // the publisher tries again
	}
	if newest := r.kept.Newest; newest != nil && r.kept.Halted == "" && release.Version > newest.Version {
		if left := newest.RolloutDuration() + observationTime - r.elapsed(now); left > 0 {
			return fmt.Errorf("%w: version %d, for another %v", ErrRolloutInProgress, newest.Version, left.Round(100*time.Millisecond))
		}
	}
	good := r.kept.LastGoodVersion
	if r.kept.Newest != nil && r.kept.Halted == "" {
		good = r.kept.Newest.Version
	}
	return r.accept(now, release, good)
}

// Copy takes the newest release of another server, which told it by a head.
func (r *Replica) Copy(now int64, release Release, head Head) error {
	return r.accept(now-int64(max(head.Elapsed, 0)), release, head.LastGood)
}

func (r *Replica) accept(published int64, release Release, good Version) error {
	if err := release.Verify(r.config.Fleet, r.config.Keys); err != nil {
		return err
	}
	if r.kept.Newest != nil && release.Version <= r.kept.Newest.Version {
		return fmt.Errorf("%w: version %d, newest is %d", ErrNotNewer, release.Version, r.kept.Newest.Version)
	}
	r.kept = StoredState{Newest: &release, LastGoodVersion: good, LastGood: r.Release(good), PublishedAt: published}
	r.digest = release.Digest()
	return nil
}

// CopyGood takes the last good release from another server, for one that has not seen it published.
func (r *Replica) CopyLastGood(release Release) error {
	if err := release.Verify(r.config.Fleet, r.config.Keys); err != nil {
		return err
	}
	if release.Version != r.kept.LastGoodVersion {
		return ErrNotNewer
	}
	r.kept.LastGood = &release
	return nil
}

// hearGood takes another server's word on the last good release before the newest one. The lower one holds: the other
// server knows of a halt that this one has not heard of.
func (r *Replica) reconcileLastGood(good Version) (wanted Version) {
	if good < r.kept.LastGoodVersion {
		r.kept.LastGoodVersion, r.kept.LastGood = good, nil
	}
	if r.kept.LastGood == nil && good == r.kept.LastGoodVersion {
		return good
	}
	return 0
}

// Release is a release that the server has; nil: it has not.
func (r *Replica) Release(version Version) *Release {
	for _, release := range []*Release{r.kept.Newest, r.kept.LastGood} {
		if release != nil && release.Version == version {
			return release
		}
	}
	return nil
}

// Acknowledge takes what an instance tells.
func (r *Replica) Acknowledge(now int64, a Acknowledgement) {
	if a.Member == "" || len(a.Member) > MaxNameLength || len(a.Zone) > MaxNameLength {
		return
	}
	if _, known := r.members[a.Member]; !known && len(r.members) >= maxMembers {
		r.expireMembers(now)
		if len(r.members) >= maxMembers {
			return
		}
	}
	a.Detail = truncate(a.Detail, maxDetail)
	r.members[a.Member] = memberState{a, now}
	r.haltOnFailures(now)
}

func (r *Replica) expireMembers(now int64) {
	for name, m := range r.members {
		if now-m.at > int64(memberRetention) {
			delete(r.members, name)
		}
	}
}

// HearServer takes another server's head. It tells which release is to be fetched from it, by Copy or CopyGood; 0: none.
func (r *Replica) ReceiveServerHead(now int64, head Head) (wanted Version) {
	if !slices.Contains(r.config.OtherServers, head.Server) {
		return 0
	}
	r.others[head.Server] = otherServer{head, now}
	if r.kept.Newest == nil || head.Version > r.kept.Newest.Version {
		return head.Version
	}
	if head.Version == r.kept.Newest.Version {
		if head.Digest != r.digest {
			r.halt(ErrConflict.Error())
		} else if head.Halted != "" {
			r.halt(head.Halted)
		}
		wanted = r.reconcileLastGood(head.LastGood)
	}
	r.haltOnFailures(now)
	return wanted
}

// Halt takes an operator's order to give a version up.
func (r *Replica) Halt(order HaltOrder) error {
	if err := order.Verify(r.config.Fleet, r.config.Keys); err != nil {
		return err
	}
	if r.kept.Newest == nil || r.kept.Newest.Version != order.Version {
		return fmt.Errorf("%w: version %d", ErrNotNewer, order.Version)
	}
	r.halt(cmp.Or(truncate(order.Reason, maxDetail), "halted by its operators"))
	return nil
}

func (r *Replica) halt(reason string) {
	if r.kept.Halted == "" {
		r.kept.Halted = reason
	}
}

// judge halts the newest release once enough instances could not apply it, here and as other servers tell.
func (r *Replica) haltOnFailures(now int64) {
	if r.kept.Newest == nil {
		return
	}
	failures := r.failures()
	for _, o := range r.others {
		if o.head.Version == r.kept.Newest.Version && now-o.at < int64(memberRetention) {
			failures += o.head.Failures
		}
	}
	if failures >= max(r.config.HaltAfter, 1) {
		r.halt(fmt.Sprintf("%d instances could not apply it", failures))
	}
}

// failures counts the instances of this server that could not apply the newest release.
func (r *Replica) failures() (n int) {
	for _, m := range r.members {
		if m.State == Failed && m.Newest == r.kept.Newest.Version {
			n++
		}
	}
	return n
}

func (r *Replica) elapsed(now int64) time.Duration {
	return time.Duration(max(now-r.kept.PublishedAt, 0))
}

// Head is what the server tells.
func (r *Replica) Head(now int64) Head {
	head := Head{Server: r.config.Name, Lag: r.lag(now)}
	if r.kept.Newest != nil {
		head.Version, head.Digest, head.Elapsed = r.kept.Newest.Version, r.digest, r.elapsed(now)
		head.Halted, head.Failures = r.kept.Halted, r.failures()
	}
	head.LastGood = r.kept.LastGoodVersion
	return head
}

// lag is how long ago a majority of the servers was last heard.
func (r *Replica) lag(now int64) time.Duration {
	needed := (len(r.config.OtherServers) + 1) / 2 // of the others, beside this server
	if needed == 0 {
		return 0
	}
	var ages []time.Duration
	for _, o := range r.others {
		ages = append(ages, time.Duration(now-o.at))
	}
	if len(ages) < needed {
		return unknownLag
	}
	slices.Sort(ages)
	return max(ages[needed-1], 0)
}

// MemberStatus is an instance as its server sees it.
type MemberStatus struct {
	Acknowledgement
	AgeMS int64 `json:"age_ms"`
}

// Status is what a server tells its operators.
type Status struct {
	Head    Head           `json:"head"`
	Members []MemberStatus `json:"members"`
}

// Status looks at everything.
func (r *Replica) Status(now int64) Status {
	r.expireMembers(now)
	s := Status{Head: r.Head(now), Members: make([]MemberStatus, 0, len(r.members))}
	for _, m := range r.members {
		s.Members = append(s.Members, MemberStatus{m.Acknowledgement, (now - m.at) / int64(time.Millisecond)})
	}
	slices.SortFunc(s.Members, func(a, b MemberStatus) int { return cmp.Compare(a.Member, b.Member) })
	return s
}
