// Package logs makes the program's logger: text or JSON lines by log/slog, a level for each part, and a bound on lines
// that repeat, so that a flood of one fault neither fills a disk nor costs the core that calls need.
package logs

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	// Part is the attribute that names a part of the program.
	Part = "part"
	// keysMost bounds the messages that are counted at once; messages are constants of the program, well under this.
	keysMost = 512
	// window is the time over which repeated lines are counted.
	window = time.Second
)

// Options is what a logger is made from.
type Options struct {
	Out     io.Writer
	JSON    bool
	Level   slog.Level
	Levels  map[string]slog.Level // by part
	Repeats int                   // lines of one message and part in a second; 0: no bound
	Now     func() time.Time      // nil: the system's
}

// Level reads a level's name.
func Level(name string) (l slog.Level, err error) {
	if err = l.UnmarshalText([]byte(name)); err != nil {
		err = fmt.Errorf("unknown level %q", name)
	}
	return l, err
}

// New makes a logger.
func New(o Options) *slog.Logger {
	if o.Now == nil {
		o.Now = time.Now
	}
	least := o.Level
	for _, l := range o.Levels {
		least = min(least, l)
	}
	var h slog.Handler = slog.NewTextHandler(o.Out, &slog.HandlerOptions{Level: least})
	if o.JSON {
		h = slog.NewJSONHandler(o.Out, &slog.HandlerOptions{Level: least})
	}
	return slog.New(&handler{Handler: h, level: o.Level, o: &o, shared: &counts{seen: map[key]*count{}}})
}

type key struct{ part, message string }

// count is how many lines of one message came in the window that began at a time, and how many were left out.
type count struct {
	began time.Time
	n     int
	left  int
}

type counts struct {
	mu   sync.Mutex
	seen map[key]*count
}

type handler struct {
	slog.Handler
	part   string
	level  slog.Level
	o      *Options
	shared *counts
}

func (h *handler) Enabled(_ context.Context, l slog.Level) bool { return l >= h.level }

func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	next := *h
	next.Handler = h.Handler.WithAttrs(attrs)
	for _, a := range attrs {
		if a.Key == Part {
			next.part = a.Value.String()
			next.level = h.o.Level
			if l, ok := h.o.Levels[next.part]; ok {
				next.level = l
			}
		}
	}
	return &next
}

func (h *handler) WithGroup(name string) slog.Handler {
	next := *h
	next.Handler = h.Handler.WithGroup(name)
	return &next
}

// Handle writes a line, or counts it. The next line of that message after the window tells how many were left out.
// Debug lines are not bounded: whoever asks for them wants them all.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	if h.o.Repeats == 0 || r.Level < slog.LevelInfo {
		return h.Handler.Handle(ctx, r)
	}
	now, left := h.o.Now(), 0
	h.shared.mu.Lock()
	c := h.shared.seen[key{h.part, r.Message}]
	if c == nil {
		if len(h.shared.seen) >= keysMost {
			clear(h.shared.seen)
		}
		c = &count{began: now}
		h.shared.seen[key{h.part, r.Message}] = c
	}
	if now.Sub(c.began) >= window || now.Before(c.began) {
		left = c.left
		*c = count{began: now}
	}
	c.n++
	over := c.n > h.o.Repeats
	if over {
		c.left++
	}
	h.shared.mu.Unlock()
	if over {
		return nil
	}
	if left > 0 {
		r.AddAttrs(slog.Int("left_out", left))
	}
	return h.Handler.Handle(ctx, r)
}
