// Package logs makes the program's logger: text or JSON lines by log/slog, with a level for each part of the program and a
// limit on repeated lines, so that a flood of one message neither fills the disk nor takes CPU time away from calls.
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
	// PartKey is the key of the attribute that names a part of the program.
	PartKey = "part"
	// maxKeys limits the messages that are counted at once. Messages are constants of the program, far fewer than this.
	maxKeys = 512
	// window is the period in which repeated lines are counted.
	window = time.Second
)

// Options are the options of New.
type Options struct {
	Output     io.Writer
	JSON       bool
	Levels     *Levels          // nil: info for all
	MaxRepeats int              // lines of one message and part per second; 0: no limit
	Now        func() time.Time // nil: time.Now
}

// Levels are the minimum levels of the lines that are written. They may change while loggers use them.
type Levels struct {
	current atomic.Pointer[levelsByPart]
}

type levelsByPart struct {
	general slog.Level
	parts   map[string]slog.Level
}

// NewLevels makes levels from a general one and those of the parts that have their own.
func NewLevels(general slog.Level, parts map[string]slog.Level) *Levels {
	l := &Levels{}
	l.Set(general, parts)
	return l
}

// Set changes the levels, also of existing loggers.
func (l *Levels) Set(general slog.Level, parts map[string]slog.Level) {
	l.current.Store(&levelsByPart{general, parts})
}

// levelOf returns the level of a part.
func (l *Levels) levelOf(part string) slog.Level {
	now := l.current.Load()
	if len(now.parts) == 0 {
		return now.general
	}
	if level, ok := now.parts[part]; ok {
		return level
	}
	return now.general
}

// minLevel is below every level: Levels decides what is written, not the handlers of log/slog.
const minLevel = slog.Level(math.MinInt)

// ParseLevel parses the name of a level.
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
	var h slog.Handler = slog.NewTextHandler(o.Output, &slog.HandlerOptions{Level: minLevel})
	if o.JSON {
		h = slog.NewJSONHandler(o.Output, &slog.HandlerOptions{Level: minLevel})
	}
	return slog.New(&handler{Handler: h, options: &o, shared: &repeatCounts{byKey: map[key]*repeatCount{}}})
}

type key struct{ part, message string }

// repeatCount counts the lines of one message in the current window, and those of them that were suppressed.
type repeatCount struct {
	windowStart time.Time
	lines       int
	suppressed  int
}

type repeatCounts struct {
	mu    sync.Mutex
	byKey map[key]*repeatCount
}

type handler struct {
	slog.Handler
	part    string
	options *Options
	shared  *repeatCounts
}

func (h *handler) Enabled(_ context.Context, l slog.Level) bool {
	return l >= h.options.Levels.levelOf(h.part)
}

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

// Handle writes a line, or suppresses it if it is over the limit. The next line of that message after the window has the
// number of suppressed lines. Debug lines are not limited: whoever enables them wants all of them.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	if h.options.MaxRepeats == 0 || r.Level < slog.LevelInfo {
		return h.Handler.Handle(ctx, r)
	}
	now, suppressed := h.options.Now(), 0
	h.shared.mu.Lock()
	c := h.shared.byKey[key{h.part, r.Message}]
	if c == nil {
		if len(h.shared.byKey) >= maxKeys {
			clear(h.shared.byKey)
		}
		c = &repeatCount{windowStart: now}
		h.shared.byKey[key{h.part, r.Message}] = c
	}
	if now.Sub(c.windowStart) >= window || now.Before(c.windowStart) {
		suppressed = c.suppressed
		*c = repeatCount{windowStart: now}
	}
	c.lines++
	overLimit := c.lines > h.options.MaxRepeats
	if overLimit {
		c.suppressed++
	}
	h.shared.mu.Unlock()
	if overLimit {
		return nil
	}
	if suppressed > 0 {
		r.AddAttrs(slog.Int("left_out", suppressed))
	}
	return h.Handler.Handle(ctx, r)
}
