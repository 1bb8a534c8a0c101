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
	// observationTime is how long after its last stage a release must be observed before the next one may be published, so
	// that failures to apply it are known by then.
	observationTime = 2 * time.Second
	// maxMembers bounds the number of stored acknowledgements, memberRetention their age.
	maxMembers      = 4096
	memberRetention = 10 * time.Minute
	// unknownLag is the lag of a server that has not been in touch with a majority yet.
	unknownLag = 24 * time.Hour
)

// ReplicaConfig configures a Replica.
type ReplicaConfig struct {
	Name, Fleet  string
	OtherServers []string // their names
	Keys         []ed25519.PublicKey
	// HaltAfter is the number of instances that must fail to apply a release before it is halted.
	HaltAfter int
}

// The errors with which a server refuses a release or an order.
var (
	ErrNotNewer          = errors.New("not newer than the newest release")
	ErrRolloutInProgress = errors.New("the rollout of the previous release is under way")
)

// StoredState is the state of a server that outlives its process.
type StoredState struct {
	Newest          *Release `json:"newest,omitempty"`
	LastGoodVersion Version  `json:"good_version"`   // the newest earlier version that was not halted
	LastGood        *Release `json:"good,omitempty"` // nil: not copied from another server yet
	PublishedAt     int64    `json:"published_ns"`   // when Newest was published, by this server's clock
	Halted          string   `json:"halted,omitempty"`
}

// memberState is the last acknowledgement of an instance and when it was received.
type memberState struct {
	Acknowledgement
	at int64
}

// otherServer is the last head of another server and when it was received.
type otherServer struct {
	head Head
	at   int64
}

// Replica is the state of one distribution server. It is not safe for concurrent use.
type Replica struct {
	config  ReplicaConfig
	stored  StoredState
	digest  Digest // of the newest release; stored because each poll is answered with it
	members map[string]memberState
	others  map[string]otherServer
}

// NewReplica restores the state of a server. Releases without a valid signature are dropped.
func NewReplica(config ReplicaConfig, stored StoredState) *Replica {
	for _, release := range []**Release{&stored.Newest, &stored.LastGood} {
		if *release != nil && (*release).Verify(config.Fleet, config.Keys) != nil {
			*release = nil
		}
	}
	if stored.Newest == nil {
		stored = StoredState{}
	}
	r := &Replica{config: config, stored: stored, members: map[string]memberState{}, others: map[string]otherServer{}}
	if stored.Newest != nil {
		r.digest = stored.Newest.Digest()
	}
	return r
}

// StoredState returns the state to store for the next process of this server.
func (r *Replica) StoredState() StoredState { return r.stored }

// Publish accepts a new release from the operators.
func (r *Replica) Publish(now int64, release Release) error {
	if r.stored.Newest != nil && release.Digest() == r.digest {
		return nil // the publisher repeats its request
	}
	if newest := r.stored.Newest; newest != nil && r.stored.Halted == "" && release.Version > newest.Version {
		if left := newest.RolloutDuration() + observationTime - r.elapsed(now); left > 0 {
			return fmt.Errorf("%w: version %d, done in %v", ErrRolloutInProgress, newest.Version, left.Round(100*time.Millisecond))
		}
	}
	good := r.stored.LastGoodVersion
	if r.stored.Newest != nil && r.stored.Halted == "" {
		good = r.stored.Newest.Version
	}
	return r.accept(now, release, good)
}

// Copy accepts the newest release of another server, which was announced by the given head.
func (r *Replica) Copy(now int64, release Release, head Head) error {
	return r.accept(now-int64(max(head.Elapsed, 0)), release, head.LastGood)
}

func (r *Replica) accept(published int64, release Release, good Version) error {
	if err := release.Verify(r.config.Fleet, r.config.Keys); err != nil {
		return err
	}
	if r.stored.Newest != nil && release.Version <= r.stored.Newest.Version {
		return fmt.Errorf("%w: version %d, newest is %d", ErrNotNewer, release.Version, r.stored.Newest.Version)
	}
	r.stored = StoredState{Newest: &release, LastGoodVersion: good, LastGood: r.Release(good), PublishedAt: published}
	r.digest = release.Digest()
	return nil
}

// CopyLastGood accepts the last good release of another server. A server needs it if it missed that release's publication.
func (r *Replica) CopyLastGood(release Release) error {
	if err := release.Verify(r.config.Fleet, r.config.Keys); err != nil {
		return err
	}
	if release.Version != r.stored.LastGoodVersion {
		return ErrNotNewer
	}
	r.stored.LastGood = &release
	return nil
}

// reconcileLastGood compares the last good version of another server with this one's. The lower version wins, because the
// other server knows of a halt that this one has not received. It returns the version to fetch; 0: none.
func (r *Replica) reconcileLastGood(good Version) (wanted Version) {
	if good < r.stored.LastGoodVersion {
		r.stored.LastGoodVersion, r.stored.LastGood = good, nil
	}
	if r.stored.LastGood == nil && good == r.stored.LastGoodVersion {
		return good
	}
	return 0
}

// Release returns the stored release of a version; nil: it is not stored.
func (r *Replica) Release(version Version) *Release {
	for _, release := range []*Release{r.stored.Newest, r.stored.LastGood} {
		if release != nil && release.Version == version {
			return release
		}
	}
	return nil
}

// Acknowledge records the acknowledgement of an instance.
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

// ReceiveServerHead records the head of another server. It returns the version to fetch from that server, for Copy or
// CopyLastGood; 0: none.
func (r *Replica) ReceiveServerHead(now int64, head Head) (wanted Version) {
	if !slices.Contains(r.config.OtherServers, head.Server) {
		return 0
	}
	r.others[head.Server] = otherServer{head, now}
	if r.stored.Newest == nil || head.Version > r.stored.Newest.Version {
		return head.Version
	}
	if head.Version == r.stored.Newest.Version {
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

// Halt carries out an operator's order to halt a version.
func (r *Replica) Halt(order HaltOrder) error {
	if err := order.Verify(r.config.Fleet, r.config.Keys); err != nil {
		return err
	}
	if r.stored.Newest == nil || r.stored.Newest.Version != order.Version {
		return fmt.Errorf("%w: version %d", ErrNotNewer, order.Version)
	}
	r.halt(cmp.Or(truncate(order.Reason, maxDetail), "halted by its operators"))
	return nil
}

func (r *Replica) halt(reason string) {
	if r.stored.Halted == "" {
		r.stored.Halted = reason
	}
}

// haltOnFailures halts the newest release once HaltAfter instances, of this and of the other servers, could not apply it.
func (r *Replica) haltOnFailures(now int64) {
	if r.stored.Newest == nil {
		return
	}
	failures := r.failures()
	for _, o := range r.others {
		if o.head.Version == r.stored.Newest.Version && now-o.at < int64(memberRetention) {
			failures += o.head.Failures
		}
	}
	if failures >= max(r.config.HaltAfter, 1) {
		r.halt(fmt.Sprintf("%d instances could not apply it", failures))
	}
}

// failures counts the instances following this server that could not apply the newest release.
func (r *Replica) failures() (n int) {
	for _, m := range r.members {
		if m.State == Failed && m.Newest == r.stored.Newest.Version {
			n++
		}
	}
	return n
}

func (r *Replica) elapsed(now int64) time.Duration {
	return time.Duration(max(now-r.stored.PublishedAt, 0))
}

// Head returns the head that the server sends to instances and to other servers.
func (r *Replica) Head(now int64) Head {
	head := Head{Server: r.config.Name, Lag: r.lag(now)}
	if r.stored.Newest != nil {
		head.Version, head.Digest, head.Elapsed = r.stored.Newest.Version, r.digest, r.elapsed(now)
		head.Halted, head.Failures = r.stored.Halted, r.failures()
	}
	head.LastGood = r.stored.LastGoodVersion
	return head
}

// lag returns the time since the server was last in touch with a majority of the servers.
func (r *Replica) lag(now int64) time.Duration {
	needed := (len(r.config.OtherServers) + 1) / 2 // other servers needed for a majority, besides this one
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

// MemberStatus is the last acknowledgement of an instance, with its age.
type MemberStatus struct {
	Acknowledgement
	AgeMS int64 `json:"age_ms"`
}

// Status is what a server reports to its operators.
type Status struct {
	Head    Head           `json:"head"`
	Members []MemberStatus `json:"members"`
}

// Status returns the status of the server and of the instances that follow it.
func (r *Replica) Status(now int64) Status {
	r.expireMembers(now)
	s := Status{Head: r.Head(now), Members: make([]MemberStatus, 0, len(r.members))}
	for _, m := range r.members {
		s.Members = append(s.Members, MemberStatus{m.Acknowledgement, (now - m.at) / int64(time.Millisecond)})
	}
	slices.SortFunc(s.Members, func(a, b MemberStatus) int { return cmp.Compare(a.Member, b.Member) })
	return s
}
