package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"masthill/lab/hostile"
)

// hostileCmd plays clients that misbehave against one real instance.
type hostileCmd struct {
	Attack  []string      `help:"Attacks to play, as FRONT/NAME (default: all)."`
	Program string        `default:"bin/masthill" help:"Path of the program to run." placeholder:"PATH"`
	For     time.Duration `default:"5s" help:"How long each attack lasts, at most a minute."`
	Clients int           `default:"400" help:"Clients that attack at the same time, where the attack has many."`
	Seed    uint64        `default:"1" help:"Seed of the instance."`
	JSON    string        `name:"json" help:"Write the results to this file, as JSON." placeholder:"FILE"`
}

// Run plays each attack with a good client on the attacked front, and prints what it saw. It fails if a bound of the platform is broken.
func (c hostileCmd) Run(ctx context.Context) error {
	program, err := filepath.Abs(c.Program)
	if err != nil {
		return err
	}
	lab, err := os.Executable()
	if err != nil {
		return err
	}
	var results []hostile.Result
	broken := 0
	for _, a := range hostile.Attacks {
		if len(c.Attack) > 0 && !slices.Contains(c.Attack, string(a.Front)+"/"+a.Name) {
			continue
		}
		r, err := c.play(ctx, program, lab, a)
		if err != nil {
			return fmt.Errorf("%s/%s: %w", a.Front, a.Name, err)
		}
		results = append(results, r)
		verdict, reasons := "holds", r.Broken(hostile.PlatformBounds)
		if len(reasons) > 0 {
			verdict = "BROKEN"
			broken++
		}
		fmt.Printf("%-4s %-12s %-6s good: %d calls, %d missed, %d failed, %d refused, p50 %.1f, p99 %.1f, max %.1f ms; peak %.0f MB; %d sent; set-ups %d, after leaving %d, repeated %d\n",
			a.Front, a.Name, verdict, r.Good.Calls, r.Good.Missed, r.Good.Failed, r.Good.Refused, r.Good.P50MS, r.Good.P99MS, r.Good.MaxMS, r.PeakMB, r.HostileSent,
			r.OfficeSetUps, r.SetUpsAfter, r.RepeatedCalls)
		for _, text := range reasons {
			fmt.Println("    ", text)
		}
	}
	if c.JSON != "" {
		if err := writeJSON(c.JSON, results); err != nil {
			return err
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d of %d attacks break a bound", broken, len(results))
	}
	return nil
}

func (c hostileCmd) play(ctx context.Context, program, lab string, a hostile.Attack) (hostile.Result, error) {
	dir, err := os.MkdirTemp("", "hostile")
	if err != nil {
		return hostile.Result{}, err
	}
	defer os.RemoveAll(dir)
	return hostile.Run(ctx, hostile.Options{Program: program, Lab: lab, Dir: dir, Attack: a, GoodFront: a.Front,
		Duration: min(c.For, time.Minute), Clients: min(c.Clients, 1000), Seed: c.Seed, OfficeTime: 10 * time.Millisecond})
}

// goodClientCmd is the good client of hostileCmd, in a process of its own.
type goodClientCmd struct {
	Front hostile.Front `required:"" enum:"sip,ws" help:"The front to call: ${enum}."`
	Addr  string        `required:"" help:"The front's address."`
	For   time.Duration `required:"" help:"How long to make calls, at most two minutes."`
}

// Run makes calls and prints what came of them, as JSON.
func (c goodClientCmd) Run(ctx context.Context) error {
	r, err := hostile.RunGoodClient(ctx, c.Front, c.Addr, min(c.For, 2*time.Minute))
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(r)
}
