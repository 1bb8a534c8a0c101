// Package logs makes the program's logger: text or JSON lines by log/slog, a level for each part, and a bound on lines
// that repeat, so that a flood of one fault neither fills a disk nor costs the core that calls need.
package logs

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Part is the attribute that names a part of the program.
	PartKey = "part"
	// keysMost bounds the messages that are counted at once; messages are constants of the program, well under this.
	keysMost = 512
	// window is the time over which repeated lines are counted.
	window = time.Second
)

// Options is what a logger is made from.
type Options struct {
	Output     io.Writer
	JSON       bool
	Levels     *Levels          // nil: info for all
	MaxRepeats int              // lines of one message and part in a second; 0: no bound
	Now        func() time.Time // nil: the system's
}

// Levels are the least levels that are written. They may change while loggers use them.
type Levels struct {
	current atomic.Pointer[levelsByPart]
}

type levelsByPart struct {
	general slog.Level
	parts   map[string]slog.Level
}

// NewLevels makes levels: a general one, and those of parts that have their own.
func NewLevels(general slog.Level, parts map[string]slog.Level) *Levels {
	l := &Levels{}
	l.Set(general, parts)
	return l
}

// Set changes the levels, for loggers that are there already, too.
func (l *Levels) Set(general slog.Level, parts map[string]slog.Level) {
	l.current.Store(&levelsByPart{general, parts})
}

// of is the level of a part.
func (l *Levels) of(part string) slog.Level {
	now := l.current.Load()
	if len(now.parts) == 0 {
		return now.general
	}
	if level, ok := now.parts[part]; ok {
		return level
	}
	return now.general
}

// everything is under any level: what is written is decided by Levels, not by the handlers of log/slog.
const everything = slog.Level(math.MinInt)

// Level reads a level's name.
func ParseLevel(name string) (l slog.Level, err error) {
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
	if o.Levels == nil {
		o.Levels = NewLevels(slog.LevelInfo, nil)
	}
	var h slog.Handler = slog.NewTextHandler(o.Output, &slog.HandlerOptions{Level: everything})
	if o.JSON {
		h = slog.NewJSONHandler(o.Output, &slog.HandlerOptions{Level: everything})
	}
	return slog.New(&handler{Handler: h, o: &o, shared: &counts{seen: map[key]*count{}}})
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
	o      *Options
	shared *counts
}

func (h *handler) Enabled(_ context.Context, l slog.Level) bool { return l >= h.o.Levels.of(h.part) }

func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	next := *h
	next.Handler = h.Handler.WithAttrs(attrs)
	for _, a := range attrs {
		if a.Key == PartKey {
			next.part = a.Value.String()
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
	if h.o.MaxRepeats == 0 || r.Level < slog.LevelInfo {
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
	over := c.n > h.o.MaxRepeats
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
