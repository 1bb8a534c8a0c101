package wave

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"masthill/internal/fleet"
	"masthill/lab/check"
	"masthill/lab/host"
	"masthill/lab/processor"
	"masthill/lab/standin"
)

// Demo runs a fleet of three under a supervisor against stand-ins for so long, restarts it meanwhile, and prints what it
// sees. It is a first look for a new user, and a check that the quick start works.
func Demo(ctx context.Context, program, dir string, d time.Duration, out io.Writer) error {
	const instances, servers, everyone = 3, 3, "all"
	o := Options{Instances: instances, Servers: servers, Planned: 30}
	o.defaults()
	rng := rand.New(rand.NewPCG(1, 2))
	p := processor.DrawParams(o.Planned, o.Servers, rng)
	ledger := check.New(check.Rules{ReleaseWait: 300 * time.Millisecond, DrainGrace: time.Second, Slack: 50 * time.Millisecond})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	var first []standin.Entry
	for k := range servers {
		s, err := standin.NewServer(fmt.Sprintf("s-%08x", 0xa0+k), k, p, time.Time{}, 3*time.Second, []string{everyone}, uint64(k), ledger)
		if err != nil {
			return err
		}
		g.Go(func() error { return s.Run(ctx) })
		first = append(first, standin.NewEntry(s, everyone, "SERVING", time.Time{}))
	}
	list, err := standin.NewListService(first, nil)
	if err != nil {
		return err
	}
	g.Go(func() error { return list.Run(ctx) })
	platform := host.PlatformConfig("%NAME%", 0, host.Site{Instances: instances, Servers: servers, Planned: o.Planned}, list.Addr(), rng.Uint64())
	platform["listen"], platform["seed"], platform["known"] = "%LISTEN%", "%SEED%", list.KnownList()
	text, err := json.Marshal(platform)
	if err != nil {
		return err
	}
	file := filepath.Join(dir, "fleet.toml")
	for name, text := range map[string]string{"platform.json": strings.Replace(string(text), `"ordinal":0`, `"ordinal":%ORDINAL%`, 1),
		"masthill.toml": strings.ReplaceAll(demoSettings, "\t", ""),
		"fleet.toml": "name = \"demo\"\ndir = \"run\"\ninstances = 3\nlisten = \"127.0.0.1:0\"\nplatform = \"platform.json\"\n" +
			"settings = \"masthill.toml\"\n[rollout]\nhealthy_for = \"1s\"\nmost_away = 0.34\n"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			return err
		}
	}
	spec, err := fleet.Load(file)
	if err != nil {
		return err
	}
	up := exec.Command(program, "fleet", "up", file)
	up.Stderr = io.Discard
	if err := up.Start(); err != nil {
		return err
	}
	defer func() {
		up.Process.Signal(syscall.SIGTERM) // ends the fleet in order
		up.Wait()
	}()
	crowd := standin.NewCallerPool(standin.Demand{Rate: 25, Class: "open-log", Aim: 1200 * time.Millisecond, Deadline: 9 * time.Second,
		Patience: [2]float64{0.3, 0.4}, Redials: 2, LateValue: 0.25, Cells: servers, RedialGap: [2]time.Duration{300 * time.Millisecond, time.Second}}, ledger, 1)
	defer crowd.Close()
	client := fleet.Dial(spec)
	if err := rotation(ctx, client, crowd, instances); err != nil {
		return err
	}
	g.Go(func() error { follow(ctx, client, crowd); return nil })
	fmt.Fprintf(out, "three instances serve; calls for %v, and a restart of the fleet meanwhile\n", d)
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-time.After(d / 4):
			if err := client.SendCommand(ctx, "rollout", ""); err != nil && ctx.Err() == nil {
				return err
			}
		}
		return nil
	})
	if err := crowd.Run(ctx, d); err != nil {
		return err
	}
	show := exec.Command(program, "fleet", "status", file)
	show.Stdout = out
	show.Run()
	b, tries, attempts := ledger.Result()
	worth, all := 0.0, crowd.Results()
	for _, o := range all {
		worth += o.Worth
	}
	fmt.Fprintf(out, "%d calls, %d tries, %d attempts; served %.3f; answers missing %d, twice %d; attempts overlapping %d\n", len(all), tries, attempts,
		worth/float64(max(len(all), 1)), b.MissingAnswers, b.DuplicateAnswers, b.OverlappingAttempts)
	cancel()
	g.Wait()
	if b.Any() {
		return fmt.Errorf("a rule was broken: %v", b.Descriptions)
	}
	return nil
}

const demoSettings = `[recovery]
	enabled = true
	[state]
	dir = "%DIR%"
`

// rotation waits until all instances are in it.
func rotation(ctx context.Context, c *fleet.Client, crowd *standin.CallerPool, instances int) error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if turn(ctx, c, crowd) == instances {
			return nil
		}
	}
	return fmt.Errorf("the fleet does not serve")
}

// follow is the front: it takes instances in and out as they come and go.
func follow(ctx context.Context, c *fleet.Client, crowd *standin.CallerPool) {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			turn(ctx, c, crowd)
		}
	}
}

func turn(ctx context.Context, c *fleet.Client, crowd *standin.CallerPool) (in int) {
	s, err := c.Status(ctx)
	if err != nil {
		return 0
	}
	for _, m := range s.Instances {
		if m.Phase != "serving" && m.Phase != "recovering" {
			crowd.RemoveInstance(m.Name)
			continue
		}
		if !crowd.HasInstance(m.Name) {
			if crowd.AddInstance(ctx, m.Name, m.Listen) != nil {
				continue
			}
		}
		in++
	}
	return in
}
