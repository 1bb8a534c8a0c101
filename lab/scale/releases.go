package scale

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"masthill/control/distribution"
	"masthill/internal/releases"
)

// ReleaseRun measures the distribution of configuration releases: the servers are processes of their own, the members are
// only the part of an instance that receives releases.
type ReleaseRun struct {
	Size             int
	Zones            int
	Program          string // the program that serves releases
	Dir              string
	Servers          int
	Changes          int           // number of releases, published one after the other
	SecondStageAfter time.Duration // when all zones but the first apply a release, from its publication
	ContentSize      int           // bytes of a release
	WarmUp           time.Duration
	MeasureFor       time.Duration // length of the measurement without releases
	OutageFor        time.Duration // how long all servers are down, and how long a region is partitioned
	WithFaults       bool
	Seed             uint64
	Progress         io.Writer
}

const (
	releaseFleet = "scale"
	// releaseTimeout limits the wait until all members have applied a release, after its last stage.
	releaseTimeout = 30 * time.Second
	// releaseMaxAge is the age from which what a member knows counts as stale.
	releaseMaxAge = 10 * time.Second
	// serverStartTimeout limits the start of a server.
	serverStartTimeout = 10 * time.Second
)

// releaseTest is a ReleaseRun in progress.
type releaseTest struct {
	ReleaseRun
	ctx     context.Context
	key     ed25519.PrivateKey
	addrs   []string
	servers []*exec.Cmd // nil: killed; guarded by mu
	client  *releases.Client
	members []*releases.Member
	tap     *wiretap
	version distribution.Version
	result  *ReleaseCost

	mu        sync.Mutex
	appliedAt map[distribution.Version]map[int]time.Time
}

// Run starts the servers and members, measures them, injects faults if wanted, and returns the costs.
func (r ReleaseRun) Run(ctx context.Context) (*ReleaseCost, error) {
	seed := make([]byte, ed25519.SeedSize)
	seed[0] = byte(r.Seed)
	run := &releaseTest{ReleaseRun: r, key: ed25519.NewKeyFromSeed(seed), client: releases.NewClient(nil), tap: newWiretap(),
		result:    &ReleaseCost{Size: r.Size, Servers: r.Servers, Changes: r.Changes},
		appliedAt: map[distribution.Version]map[int]time.Time{}}
	at, reservation, err := reserveNetwork(r.Seed)
	if err != nil {
		return nil, err
	}
	defer reservation.Close()
	for k := range r.Servers {
		run.addrs = append(run.addrs, fmt.Sprintf("%s.254.%d:2910", at, 1+k))
	}
	run.servers = make([]*exec.Cmd, r.Servers)
	defer run.stopServers()
	for k := range r.Servers {
		if err := run.startServer(k); err != nil {
			return nil, err
		}
	}
	g, inner := errgroup.WithContext(ctx)
	inner, stop := context.WithCancel(inner)
	run.ctx = inner
	run.startMembers(g)
	err = run.measure()
	stop()
	if groupErr := g.Wait(); err == nil {
		err = groupErr
	}
	return run.result, err
}

func (r *releaseTest) logf(format string, args ...any) {
	SteadyRun{Progress: r.Progress}.logf(format, args...)
}

// startServer starts a server and waits until it answers.
func (r *releaseTest) startServer(k int) error {
	public := base64.StdEncoding.EncodeToString(r.key.Public().(ed25519.PublicKey))
	cmd := exec.Command(r.Program, "config", "serve", "--fleet", releaseFleet, "--servers", strings.Join(r.addrs, ","), "--listen", r.addrs[k],
		"--dir", filepath.Join(r.Dir, fmt.Sprint("server", k)), "--keys", public)
	log, err := os.OpenFile(filepath.Join(r.Dir, fmt.Sprintf("server%d.log", k)), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return err
	}
	r.mu.Lock()
	r.servers[k] = cmd
	r.mu.Unlock()
	for end := time.Now().Add(serverStartTimeout); ; time.Sleep(20 * time.Millisecond) {
		if _, err = r.client.Status(context.Background(), r.addrs[k]); err == nil {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("server %d: %w", k, err)
		}
	}
}

// killServer kills a server's process.
func (r *releaseTest) killServer(k int) {
	r.mu.Lock()
	cmd := r.servers[k]
	r.servers[k] = nil
	r.mu.Unlock()
	if cmd != nil {
		cmd.Process.Kill()
		cmd.Wait()
	}
}

// running returns the processes of the servers that have not been killed.
func (r *releaseTest) running() []*exec.Cmd {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(r.servers), func(cmd *exec.Cmd) bool { return cmd == nil })
}

// stopServers terminates all servers gracefully.
func (r *releaseTest) stopServers() {
	running := r.running()
	for _, cmd := range running {
		cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, cmd := range running {
		cmd.Wait()
	}
}

func (r *releaseTest) zone(k int) string { return fmt.Sprintf("zone-%d", k%max(r.Zones, 1)) }

// startMembers starts all members.
func (r *releaseTest) startMembers(g *errgroup.Group) {
	quiet := slog.New(slog.DiscardHandler)
	for k := range r.Size {
		m := releases.NewMember(releases.MemberOptions{Name: fmt.Sprintf("n%d", k), Zone: r.zone(k), Fleet: releaseFleet, Servers: r.addrs,
			Keys: []ed25519.PublicKey{r.key.Public().(ed25519.PublicKey)}, MaxAge: releaseMaxAge, Seed: r.Seed + uint64(k), Log: quiet,
			Dial: r.tap.dial(k), Apply: func(release *distribution.Release) error { r.onApplied(k, release); return nil }})
		r.members = append(r.members, m)
		g.Go(func() error { return m.Run(r.ctx) })
	}
}

func (r *releaseTest) onApplied(k int, release *distribution.Release) {
	if release == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.appliedAt[release.Version] == nil {
		r.appliedAt[release.Version] = map[int]time.Time{}
	}
	r.appliedAt[release.Version][k] = time.Now()
}

// publish publishes a release to a majority of the servers, and returns when.
func (r *releaseTest) publish() (time.Time, error) {
	r.version++
	release := distribution.Release{Fleet: releaseFleet, Version: r.version, Content: []byte("# " + strings.Repeat("x", max(r.ContentSize-2, 0))),
		Stages: []distribution.Stage{{Zones: []string{r.zone(0)}}, {After: r.SecondStageAfter}}}
	release.Sign(r.key)
	began := time.Now()
	for end := began.Add(releaseTimeout); ; {
		accepted := 0
		var last error
		for _, addr := range r.addrs {
			if err := r.client.Publish(r.ctx, addr, release); err == nil {
				accepted++
			} else {
				last = err
			}
		}
		if accepted > len(r.addrs)/2 {
			return began, nil
		}
		if time.Now().After(end) || r.ctx.Err() != nil {
			return began, fmt.Errorf("version %d accepted by %d servers only: %w", r.version, accepted, last)
		}
		if err := r.sleep(200 * time.Millisecond); err != nil {
			return began, err
		}
		began = time.Now() // the previous rollout was still in progress; count from this try
	}
}

func (r *releaseTest) sleep(d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-r.ctx.Done():
		return context.Cause(r.ctx)
	}
}

// waitForRelease waits until members have applied a version. It returns how long each took, in milliseconds, sorted, and how
// many did not apply it in time.
func (r *releaseTest) waitForRelease(version distribution.Version, began time.Time, members []int) (took []float64, missing int, err error) {
	for end := time.Now().Add(r.SecondStageAfter + releaseTimeout); ; {
		took = took[:0]
		r.mu.Lock()
		for _, k := range members {
			if at, ok := r.appliedAt[version][k]; ok {
				took = append(took, float64(at.Sub(began).Microseconds())/1000)
			}
		}
		r.mu.Unlock()
		if missing = len(members) - len(took); missing == 0 || time.Now().After(end) {
			slices.Sort(took)
			return took, missing, nil
		}
		if err := r.sleep(20 * time.Millisecond); err != nil {
			return nil, missing, err
		}
	}
}

// membersExcept returns the numbers of all members except some.
func (r *releaseTest) membersExcept(but ...int) (members []int) {
	for k := range r.Size {
		if !slices.Contains(but, k) {
			members = append(members, k)
		}
	}
	return members
}

// measure measures the fleet without releases, with releases one after the other, and under faults.
func (r *releaseTest) measure() error {
	machine := ReadMachineLoad()
	if err := r.waitForContact(); err != nil {
		return err
	}
	if err := r.sleep(r.WarmUp); err != nil {
		return err
	}
	rest, err := r.measureIdle()
	if err != nil {
		return err
	}
	if err := r.measureChanges(rest); err != nil {
		return err
	}
	r.result.OthersCores, r.result.LoadAverage = max(cores(machine, ReadMachineLoad())-r.ownCores(machine), 0), ReadMachineLoad().LoadAverage
	r.logf("%d members: %.0f bytes per second and %.3f%% of a core idle, %.0f bytes per second with releases; applied after %.0f ms (p99), %.0f ms at most; a server %.2f%%, %.1f MB",
		r.Size, r.result.IdleBytes, r.result.IdleCPU, r.result.BusyBytes, r.result.AppliedP99, r.result.AppliedMax, r.result.ServerCPU, r.result.ServerMemory)
	if !r.WithFaults {
		return nil
	}
	return r.runFaults()
}

// waitForContact waits until all members have heard from a server.
func (r *releaseTest) waitForContact() error {
	for end := time.Now().Add(releaseTimeout); ; {
		heard := 0
		for _, m := range r.members {
			if m.Status().AgeMS >= 0 {
				heard++
			}
		}
		if heard == r.Size {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("only %d of %d members have heard from a server", heard, r.Size)
		}
		if err := r.sleep(50 * time.Millisecond); err != nil {
			return err
		}
	}
}

// measureIdle measures the fleet without releases.
func (r *releaseTest) measureIdle() (resourceUse, error) {
	before := r.readUse()
	var ages []float64
	for end := time.Now().Add(r.MeasureFor); time.Now().Before(end); {
		if err := r.sleep(r.MeasureFor / 10); err != nil {
			return before, err
		}
		for _, m := range r.members {
			ages = append(ages, float64(m.Status().AgeMS))
		}
	}
	after := r.readUse()
	c := r.result
	c.IdleBytes, c.IdleSegments, c.IdleCPU = r.perMember(before, after)
	slices.Sort(ages)
	c.AgeP99, c.AgeMax = p99(ages), ages[len(ages)-1]
	c.ServerBytes = c.IdleBytes * float64(r.Size) / float64(r.Servers)
	return after, nil
}

// measureChanges publishes releases one after the other and measures how soon all members have applied them.
func (r *releaseTest) measureChanges(before resourceUse) error {
	c := r.result
	var took []float64
	for range r.Changes {
		began, err := r.publish()
		if err != nil {
			return err
		}
		times, missing, err := r.waitForRelease(r.version, began, r.membersExcept())
		if err != nil {
			return err
		}
		took, c.Missing = append(took, times...), c.Missing+missing
	}
	slices.Sort(took)
	if len(took) > 0 {
		c.AppliedP99, c.AppliedMax = p99(took), took[len(took)-1]
	}
	after := r.readUse()
	c.BusyBytes, _, c.BusyCPU = r.perMember(before, after)
	c.BytesPerRelease = (c.BusyBytes - c.IdleBytes) * after.at.Sub(before.at).Seconds() / float64(max(r.Changes, 1))
	for k := range after.servers {
		c.ServerCPU = max(c.ServerCPU, 100*(after.servers[k]-before.servers[k]).Seconds()/after.at.Sub(before.at).Seconds())
	}
	for _, cmd := range r.running() {
		c.ServerMemory = max(c.ServerMemory, float64(residentOf(cmd.Process.Pid))/1e6)
	}
	runtime.GC()
	var heap runtime.MemStats
	runtime.ReadMemStats(&heap)
	c.Heap, c.Memory = float64(heap.HeapAlloc)/1e6/float64(r.Size), float64(residentOf(os.Getpid()))/1e6/float64(r.Size)
	return nil
}
