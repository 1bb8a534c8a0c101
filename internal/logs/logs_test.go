package logs

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

func TestLevelsByPartAndRepeats(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(1000, 0)
	log := New(Options{Out: &out, Level: slog.LevelInfo, Levels: map[string]slog.Level{"core": slog.LevelDebug, "list": slog.LevelError},
		Repeats: 3, Now: func() time.Time { return now }})
	core, list := log.With(Part, "core"), log.With(Part, "list")
	core.Debug("seen")
	log.Debug("unseen")
	list.Warn("unseen")
	for range 10 {
		core.Warn("flood")
		list.Error("flood")
	}
	text := out.String()
	if strings.Count(text, "msg=seen") != 1 || strings.Contains(text, "unseen") {
		t.Error(text)
	}
	if n := strings.Count(text, "msg=flood"); n != 6 { // three of each part
		t.Errorf("%d lines", n)
	}
	now = now.Add(time.Second)
	core.Warn("flood")
	if !strings.Contains(out.String(), "left_out=7") {
		t.Error(out.String())
	}
}

func TestJSON(t *testing.T) {
	var out bytes.Buffer
	New(Options{Out: &out, JSON: true}).With(Part, "core").Info("a line", "call", "x")
	if !strings.Contains(out.String(), `"msg":"a line","part":"core","call":"x"`) {
		t.Error(out.String())
	}
	if _, err := Level("loud"); err == nil {
		t.Error("an unknown level")
	}
}
