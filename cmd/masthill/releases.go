package main

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"

	"masthill/control/distribution"
	"masthill/internal/config"
	"masthill/internal/logs"
	"masthill/internal/releases"
)

// configCmd has the commands for configuration releases.
type configCmd struct {
	Keygen  configKeygen  `cmd:"" help:"Generate a key pair for signing releases, and print the public key."`
	Check   configCheck   `cmd:"" help:"Check the content of a release, and print each fault with file, line and key."`
	Serve   configServe   `cmd:"" help:"Store releases and serve them to a fleet, together with the other configuration servers."`
	Publish configPublish `cmd:"" help:"Sign a release and publish it to the configuration servers."`
	Halt    configHalt    `cmd:"" help:"Halt the newest release: all instances go back to the last good one."`
	Status  configStatus  `cmd:"" help:"Print which instances run which release, and how old that information is."`
}

// privateKeyMode is the mode of a file with a private key.
const privateKeyMode = 0o600

type configKeygen struct {
	File string `arg:"" help:"File for the private key; it must not exist yet."`
}

func (c configKeygen) Run(out stdout) error {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(c.File, os.O_WRONLY|os.O_CREATE|os.O_EXCL, privateKeyMode)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(f, base64.StdEncoding.EncodeToString(private.Seed()))
	if err := errors.Join(err, f.Close()); err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, base64.StdEncoding.EncodeToString(public))
	return err
}

// readPrivateKey reads a private key from a file that configKeygen wrote.
func readPrivateKey(file string) (ed25519.PrivateKey, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, fmt.Errorf("%s: not a private key", file)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

type configCheck struct {
	File   string `arg:"" optional:"" help:"The content of a release, as TOML."`
	Schema bool   `help:"Print the JSON Schema of a release's content and check nothing."`
}

func (c configCheck) Run(out stdout) error {
	if c.Schema {
		_, err := out.Write(config.LiveSettingsSchema)
		return err
	}
	if _, err := readContent(c.File); err != nil {
		return err
	}
	_, err := fmt.Fprintln(out, "no faults")
	return err
}

// readContent reads and checks the content of a release. Values that refer to the environment are looked up by the
// instance that applies the release; for the check each is replaced by a distinct text.
func readContent(file string) ([]byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, exitError{exitUsage, err}
	}
	placeholder := func(name string) string { return "a value in the environment: " + name }
	if _, err := config.ParseLiveSettings(file, string(text), placeholder); err != nil {
		return nil, exitError{exitUsage, err}
	}
	return text, nil
}

// configFleet holds the flags that most of the commands share.
type configFleet struct {
	Servers []string `required:"" name:"servers" placeholder:"HOST:PORT" help:"All configuration servers of the fleet."`
	Fleet   string   `required:"" help:"Name of the fleet; releases for other fleets are refused."`
}

type configServe struct {
	configFleet
	Listen    string   `required:"" placeholder:"HOST:PORT" help:"Address of this server, one of --servers."`
	Dir       string   `required:"" type:"path" help:"Directory in which releases are stored."`
	Keys      []string `required:"" name:"keys" help:"The operators' public keys."`
	HaltAfter int      `default:"1" help:"Halt a release once this many instances cannot apply it."`
}

func (c configServe) Run(s signals) error {
	var keys []ed25519.PublicKey
	for k, text := range c.Keys {
		key, err := config.ParsePublicKey(text)
		if err != nil {
			return exitError{exitUsage, fmt.Errorf("--keys, key %d: %w", k+1, err)}
		}
		keys = append(keys, key)
	}
	if !slices.Contains(c.Servers, c.Listen) {
		return exitError{exitUsage, fmt.Errorf("--listen: %s is not one of --servers", c.Listen)}
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	others := slices.DeleteFunc(slices.Clone(c.Servers), func(server string) bool { return server == c.Listen })
	log := logs.New(logs.Options{Output: os.Stderr}).With("server", c.Listen, logs.PartKey, "releases")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-s.term:
			cancel()
		case <-ctx.Done():
		}
	}()
	log.Info("serving releases", "fleet", c.Fleet, "others", len(others))
	return releases.NewServer(releases.ServerOptions{Name: c.Listen, OtherServers: others, Fleet: c.Fleet, Keys: keys, HaltAfter: c.HaltAfter,
		Dir: c.Dir, Log: log}).Serve(ctx, l)
}

// onAllServers sends the same request to all servers at the same time. It returns how many of them succeeded, and the
// errors of the others.
func (c configFleet) onAllServers(request func(ctx context.Context, client *releases.Client, server string) error) (succeeded int, err error) {
	client := releases.NewClient(nil)
	defer client.Close()
	failures := make([]error, len(c.Servers))
	var g errgroup.Group
	for k, server := range c.Servers {
		g.Go(func() error {
			if err := request(context.Background(), client, server); err != nil {
				failures[k] = fmt.Errorf("%s: %w", server, err)
			}
			return nil
		})
	}
	g.Wait()
	for _, err := range failures {
		if err == nil {
			succeeded++
		}
	}
	return succeeded, errors.Join(failures...)
}

// overview queries the status of all servers and combines them. Servers that do not answer are named in err; if none
// answers, err has the exit code exitNoAnswer.
func (c configFleet) overview() (distribution.Overview, error) {
	var mu sync.Mutex
	var statuses []distribution.Status
	answered, err := c.onAllServers(func(ctx context.Context, client *releases.Client, server string) error {
		status, err := client.Status(ctx, server)
		if err == nil {
			mu.Lock()
			statuses = append(statuses, status)
			mu.Unlock()
		}
		return err
	})
	if answered == 0 {
		return distribution.Overview{}, exitError{exitNoAnswer, err}
	}
	return distribution.NewOverview(statuses), err
}

// majority is how many of the servers have to accept a release.
func (c configFleet) majority() int { return len(c.Servers)/2 + 1 }

type configPublish struct {
	configFleet
	KeyFile string        `required:"" type:"existingfile" help:"File with the private key, as written by keygen."`
	Stage   []string      `sep:"none" placeholder:"ZONE,ZONE=AFTER" help:"Zones that apply the release this long after its publication, as in a,b=2s; may be repeated."`
	Rest    time.Duration `default:"0s" help:"How long after its publication all other zones apply the release."`
	Version uint64        `help:"Version of the release (default: the one after the newest)."`
	Wait    time.Duration `default:"30s" help:"How long to retry until a majority of the servers accepts the release, as they refuse it while the previous one is rolled out."`
	Follow  time.Duration `help:"How long to wait until every instance runs the release (default: not at all); exit code 4 if it is halted."`
	File    string        `arg:"" help:"Content of the release, as TOML."`
}

// retryInterval is the pause before a release is sent again, or its state is queried again.
const retryInterval = 500 * time.Millisecond

func (c configPublish) Run(out stdout) error {
	release, err := c.release()
	if err != nil {
		return err
	}
	accepted := 0
	for end := time.Now().Add(c.Wait); ; time.Sleep(retryInterval) {
		accepted, err = c.onAllServers(func(ctx context.Context, client *releases.Client, server string) error {
			return client.Publish(ctx, server, *release)
		})
		if accepted >= c.majority() || time.Now().After(end) {
			break
		}
	}
	if accepted < c.majority() {
		return exitError{exitFailed, fmt.Errorf("version %d: %d of %d servers have it: %w", release.Version, accepted, len(c.Servers), err)}
	}
	fmt.Fprintf(out, "version %d: %d of %d servers have it\n", release.Version, accepted, len(c.Servers))
	if c.Follow == 0 {
		return nil
	}
	return c.follow(out, release.Version)
}

// release builds and signs the release.
func (c configPublish) release() (*distribution.Release, error) {
	content, err := readContent(c.File)
	if err != nil {
		return nil, err
	}
	key, err := readPrivateKey(c.KeyFile)
	if err != nil {
		return nil, exitError{exitUsage, err}
	}
	release := &distribution.Release{Fleet: c.Fleet, Version: distribution.Version(c.Version), Content: content}
	for _, text := range c.Stage {
		stage, err := parseStage(text)
		if err != nil {
			return nil, exitError{exitUsage, err}
		}
		release.Stages = append(release.Stages, stage)
	}
	release.Stages = append(release.Stages, distribution.Stage{After: c.Rest})
	if c.Version == 0 {
		overview, err := c.overview()
		if len(overview.Servers) == 0 {
			return nil, err
		}
		release.Version = overview.Version + 1
	}
	release.Sign(key)
	return release, nil
}

// parseStage parses a --stage flag: the zones, and how long after its publication they take the release.
func parseStage(text string) (stage distribution.Stage, err error) {
	zones, after, ok := strings.Cut(text, "=")
	if !ok || zones == "" {
		return stage, fmt.Errorf("--stage %q: expected ZONE,ZONE=AFTER", text)
	}
	stage.Zones = strings.Split(zones, ",")
	if stage.After, err = time.ParseDuration(after); err != nil {
		return stage, fmt.Errorf("--stage %q: %w", text, err)
	}
	return stage, nil
}

// follow waits until every instance runs a release, or the release is halted.
func (c configPublish) follow(out stdout, version distribution.Version) error {
	var o distribution.Overview
	for end := time.Now().Add(c.Follow); time.Now().Before(end); time.Sleep(retryInterval) {
		o, _ = c.overview()
		if o.Version == version && o.Halted != "" {
			return exitError{exitHalted, fmt.Errorf("version %d is halted: %s", version, o.Halted)}
		}
		if o.Version == version && o.Settled() && len(o.Members) > 0 {
			fmt.Fprintf(out, "version %d: %d instances run it\n", version, o.States()[distribution.Applied])
			return nil
		}
	}
	return exitError{exitFailed, fmt.Errorf("version %d: not running on all instances after %v: %v", version, c.Follow, o.States())}
}

type configHalt struct {
	configFleet
	KeyFile string `required:"" type:"existingfile" help:"File with the private key, as written by keygen."`
	Version uint64 `required:"" help:"Version of the release."`
	Reason  string `help:"Reason, shown to other operators."`
}

func (c configHalt) Run(out stdout) error {
	key, err := readPrivateKey(c.KeyFile)
	if err != nil {
		return exitError{exitUsage, err}
	}
	order := distribution.HaltOrder{Fleet: c.Fleet, Version: distribution.Version(c.Version), Reason: c.Reason}
	order.Sign(key)
	succeeded, err := c.onAllServers(func(ctx context.Context, client *releases.Client, server string) error {
		return client.Halt(ctx, server, order)
	})
	if succeeded == 0 {
		return err
	}
	_, err = fmt.Fprintf(out, "version %d: halted at %d of %d servers; they forward the halt to the others\n", c.Version, succeeded, len(c.Servers))
	return err
}

type configStatus struct {
	Servers []string `required:"" name:"servers" placeholder:"HOST:PORT" help:"All configuration servers of the fleet."`
	JSON    bool     `help:"Print JSON."`
	All     bool     `help:"Print all instances, not only those that do not run the newest release."`
}

func (c configStatus) Run(out stdout) error {
	o, err := configFleet{Servers: c.Servers}.overview()
	if len(o.Servers) == 0 {
		return err
	}
	if c.JSON {
		return printJSON(out, o)
	}
	fmt.Fprintf(out, "newest version %d, last good before it %d", o.Version, o.LastGood)
	if o.Halted != "" {
		fmt.Fprintf(out, ", halted: %s", o.Halted)
	}
	fmt.Fprintf(out, "\n%d of %d servers answer; %d instances: %v\n", len(o.Servers), len(c.Servers), len(o.Members), o.States())
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "instance\tzone\tstate\truns\tknows of\theard\tdetail")
	for _, m := range o.Members {
		if state := o.StateOf(m); c.All || state != distribution.Applied {
			fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d ms ago\t%s\n", m.Member, m.Zone, state, m.Running, m.Newest, m.AgeMS, m.Detail)
		}
	}
	return t.Flush()
}
