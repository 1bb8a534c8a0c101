// Command masthill is one session controller: it takes calls from callers and places each at an office.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"masthill/internal/caller"
	"masthill/internal/config"
	"masthill/internal/exchange"
	"masthill/internal/journal"
	"masthill/internal/office"
)

const (
	// acceptFor is how long after SIGTERM new connections are accepted (PROTOCOL: they come for 0.2 to
	// 0.4 s), takeFor how long requests still come on open ones (0.2 s more), both with a margin.
	acceptFor, takeFor = 500 * time.Millisecond, 800 * time.Millisecond
	// refuseAfter is when what still waits is refused: SIGKILL comes no sooner than 3.7 s after SIGTERM.
	refuseAfter = 3300 * time.Millisecond
	// flushFor is the time that the last answers get to be written.
	flushFor = 200 * time.Millisecond
	// memoryPart is the part of the memory limit that the Go heap may take; the rest is for the program's own
	// pages, stacks, socket buffers and files.
	memoryPart = 0.7
)

func main() {
	level := slog.LevelInfo
	if os.Getenv("MASTHILL_LOG") == "debug" {
		level = slog.LevelDebug
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	p, err := config.Load(os.Getenv)
	if err != nil {
		fmt.Fprintln(os.Stderr, "masthill: configuration:", err)
		os.Exit(2)
	}
	if err := serve(p, log.With("node", p.Name)); err != nil {
		fmt.Fprintln(os.Stderr, "masthill:", err)
		os.Exit(1)
	}
}

func serve(p *config.Platform, log *slog.Logger) error {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(p.Cores))))
	debug.SetMemoryLimit(int64(float64(p.MemoryMB<<20) * memoryPart))
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)

	var front *caller.Server
	x, err := exchange.New(exchange.Options{Settings: p.Settings, Seed: p.Seed, Now: time.Now, Log: log,
		Stray: func(id string, cut bool) { front.Release(id, cut) }})
	if err != nil {
		return err
	}
	offices := office.NewPool(office.Options{Core: x, Log: log, ConnectWait: p.ConnectWait,
		Dials: map[string]office.Dial{"": office.SIP(p.Name, p.Settings.Fields)}})
	x.Connect(offices)
	feed := &journal.Client{Addr: p.Journal, Log: log, Tell: x.Members}
	feed.Start(p.Known)
	front = caller.New(caller.Options{Core: x, Log: log, Classes: p.Classes, Tenants: p.Tenants,
		MaxOpen: p.Sockets / 2})
	l, err := net.Listen("tcp", p.Listen)
	if err != nil {
		return err
	}

	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return x.Run(ctx) })
	g.Go(func() error { return offices.Run(ctx) })
	g.Go(func() error { return feed.Run(ctx) })
	g.Go(func() error { return front.Serve(ctx, l) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
			return nil
		case <-term:
		}
		log.Info("ending", "open", x.Open())
		began := time.Now()
		front.Drain()
		time.Sleep(acceptFor)
		l.Close()
		time.Sleep(takeFor - time.Since(began))
		for x.Open() > 0 && time.Since(began) < refuseAfter {
			time.Sleep(5 * time.Millisecond)
		}
		x.RefuseAll()
		front.Close()
		time.Sleep(flushFor)
		log.Info("ended", "after_ms", time.Since(began).Milliseconds())
		stop()
		return nil
	})
	log.Info("serving", "listen", p.Listen, "pos", feed.Pos)
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}
