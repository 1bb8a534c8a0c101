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

// Demo runs a fleet of three instances under a supervisor against stand-ins for the duration d, restarts the fleet
// meanwhile, and prints the result. It is a demonstration for new users, and a check that the quick start works.
func Demo(ctx context.Context, program, dir string, d time.Duration, out io.Writer) error {
	const instances, servers, allInstances = 3, 3, "all"
	o := Options{Instances: instances, Servers: servers, Planned: 30}
	o.defaults()
	rng := rand.New(rand.NewPCG(1, 2))
	params := processor.DrawParams(o.Planned, o.Servers, rng)
	ledger := check.New(check.Rules{ReleaseWait: 300 * time.Millisecond, DrainGrace: time.Second, Slack: 50 * time.Millisecond})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	var initial []standin.Entry
	for k := range servers {
		s, err := standin.NewServer(fmt.Sprintf("s-%08x", 0xa0+k), k, params, time.Time{}, 3*time.Second, []string{allInstances}, uint64(k), ledger)
		if err != nil {
			return err
		}
		g.Go(func() error { return s.Run(ctx) })
		initial = append(initial, standin.NewEntry(s, allInstances, "SERVING", time.Time{}))
	}
	list, err := standin.NewListService(initial, nil)
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
	supervisor := exec.Command(program, "fleet", "up", file)
	supervisor.Stderr = io.Discard
	if err := supervisor.Start(); err != nil {
		return err
	}
	defer func() {
		supervisor.Process.Signal(syscall.SIGTERM) // ends the fleet cleanly
		supervisor.Wait()
	}()
	callers := standin.NewCallerPool(standin.Demand{Rate: 25, Class: "open-log", Aim: 1200 * time.Millisecond, Deadline: 9 * time.Second,
		Patience: [2]float64{0.3, 0.4}, Redials: 2, LateValue: 0.25, Cells: servers, RedialGap: [2]time.Duration{300 * time.Millisecond, time.Second}}, ledger, 1)
	defer callers.Close()
	client := fleet.Dial(spec)
	if err := waitForRotation(ctx, client, callers, instances); err != nil {
		return err
	}
	g.Go(func() error { followFleet(ctx, client, callers); return nil })
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
	if err := callers.Run(ctx, d); err != nil {
		return err
	}
	status := exec.Command(program, "fleet", "status", file)
	status.Stdout = out
	status.Run()
	violations, tries, attempts := ledger.Result()
	total, outcomes := 0.0, callers.Results()
	for _, o := range outcomes {
		total += o.Worth
	}
	fmt.Fprintf(out, "%d calls, %d tries, %d attempts; served %.3f; answers missing %d, twice %d; attempts overlapping %d\n", len(outcomes), tries, attempts,
		total/float64(max(len(outcomes), 1)), violations.MissingAnswers, violations.DuplicateAnswers, violations.OverlappingAttempts)
	cancel()
	g.Wait()
	if violations.Any() {
		return fmt.Errorf("a rule was broken: %v", violations.Descriptions)
	}
	return nil
}

// demoSettings are the operators' settings of the demo's instances.
const demoSettings = `[recovery]
	enabled = true
	[state]
	dir = "%DIR%"
`

// waitForRotation waits until all instances are in the rotation, for at most 15 s.
func waitForRotation(ctx context.Context, c *fleet.Client, callers *standin.CallerPool, instances int) error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if updateRotation(ctx, c, callers) == instances {
			return nil
		}
	}
	return fmt.Errorf("the fleet does not serve after 15 s")
}

// followFleet keeps the rotation up to date with the status of the fleet, as a front would.
func followFleet(ctx context.Context, c *fleet.Client, callers *standin.CallerPool) {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			updateRotation(ctx, c, callers)
		}
	}
}

// updateRotation adds serving instances to the rotation and removes the others. It gives the number of instances that are
// in the rotation; 0 if the fleet's status is not available.
func updateRotation(ctx context.Context, c *fleet.Client, callers *standin.CallerPool) (serving int) {
	s, err := c.Status(ctx)
	if err != nil {
		return 0
	}
	for _, m := range s.Instances {
		if m.Phase != "serving" && m.Phase != "recovering" {
			callers.RemoveInstance(m.Name)
			continue
		}
		if !callers.HasInstance(m.Name) {
			if callers.AddInstance(ctx, m.Name, m.Listen) != nil {
				continue
			}
		}
		serving++
	}
	return serving
}
