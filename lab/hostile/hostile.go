// Package hostile measures what a well-behaved client notices while other clients of the same instance misbehave: one real
// process of the program, a good client in a process of its own, and an attack on either front, all on loopback.
package hostile

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"masthill/lab/standin"
)

const (
	// instanceName is the name of the instance under attack, goodIdentity and hostileIdentity its WebSocket callers.
	instanceName, goodIdentity, hostileIdentity = "n0", "station-good", "station-hostile"
	goodToken, hostileToken                     = "token-of-the-good-station", "token-of-the-hostile-station"
	// warmUp is how long the good client calls before the attack begins, aftermath how long it calls after its end.
	warmUp, aftermath = time.Second, 2 * time.Second
	// memorySampleInterval is how often the instance's memory is read.
	memorySampleInterval = 20 * time.Millisecond
)

// Options configures a run.
type Options struct {
	Program    string        // path of masthill
	Lab        string        // path of this program, which is also the good client
	Dir        string        // for the instance's files
	Attack     Attack        //
	GoodFront  Front         // that the good client uses
	Duration   time.Duration // of the attack
	Clients    int           // that attack at the same time, where the attack has many
	Seed       uint64
	OfficeTime time.Duration // from a set-up to an office's answer
}

// Result is what a run measured.
type Result struct {
	Attack        string         `json:"attack"`
	Front         Front          `json:"front"` // that is attacked
	GoodFront     Front          `json:"good_front"`
	Good          ClientResult   `json:"good"`
	HostileSent   int64          `json:"hostile_sent"`   // messages or connections, as the attack counts
	PeakMB        float64        `json:"peak_mb"`        // greatest resident memory, with the program's own pages
	EndMB         float64        `json:"end_mb"`         // resident memory at the end
	SetUpsAfter   int64          `json:"set_ups_after"`  // set-ups of hostile calls that reached an office after their client had left
	RepeatedCalls int64          `json:"repeated_calls"` // hostile call ids of which offices got more than one set-up
	OfficeSetUps  int64          `json:"office_set_ups"`
	Ended         string         `json:"ended,omitempty"` // why the instance ended, if it did
	LogLines      map[string]int `json:"log_lines"`       // lines of the instance's log by message, as far as kept
}

// Run starts the parties, plays the attack and measures.
func Run(ctx context.Context, o Options) (r Result, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	offices := newOffices(o.OfficeTime)
	var entries []standin.Entry
	for k := range officeCount {
		addr, err := offices.listen(ctx, g)
		if err != nil {
			return r, err
		}
		entries = append(entries, standin.Entry{ID: fmt.Sprintf("s-%08x", 160+k), Addr: addr, Cell: k, State: "SERVING", Weight: 4})
	}
	list, err := standin.NewListService(entries, nil)
	if err != nil {
		return r, err
	}
	g.Go(func() error { return list.Run(ctx) })
	t, instance, err := startInstance(ctx, o, list, officeCount)
	if err != nil {
		return r, err
	}
	defer instance.Stop(true)
	t.offices = offices
	memory := watchMemory(ctx, instance.PID())
	good := goodClient(o, t)
	if err := good.Start(); err != nil {
		return r, err
	}
	time.Sleep(warmUp)
	attackCtx, endAttack := context.WithTimeout(ctx, o.Duration)
	o.Attack.run(attackCtx, t)
	endAttack()
	if err := good.Wait(); err != nil {
		return r, fmt.Errorf("good client: %w", err)
	}
	if err := json.Unmarshal(good.Stdout.(*bytes.Buffer).Bytes(), &r.Good); err != nil {
		return r, fmt.Errorf("good client: %w", err)
	}
	r.Attack, r.Front, r.GoodFront, r.HostileSent = o.Attack.Name, o.Attack.Front, o.GoodFront, t.sent.Load()
	r.PeakMB, r.EndMB = memory()
	r.SetUpsAfter, r.RepeatedCalls, r.OfficeSetUps = offices.counts()
	if r.EndMB == 0 {
		r.Ended = instance.LogTail()
	}
	r.LogLines = countLines(instance.Log())
	return r, nil
}

// goodClient is the command of the good client's process.
func goodClient(o Options, t *target) *exec.Cmd {
	addr := t.sip
	if o.GoodFront == WebSocket {
		addr = t.ws
	}
	c := exec.Command(o.Lab, "good-client", "--front", string(o.GoodFront), "--addr", addr, "--for", (warmUp + o.Duration + aftermath).String())
	c.Stdout, c.Stderr = &bytes.Buffer{}, os.Stderr
	return c
}

// countLines counts a log's lines by their message.
func countLines(log string) map[string]int {
	counts := map[string]int{}
	for line := range strings.Lines(log) {
		if _, rest, ok := strings.Cut(line, "msg="); ok {
			message, _, _ := strings.Cut(rest, " node=")
			counts[strings.Trim(message, `"`)]++
		}
	}
	return counts
}
