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
	levels := NewLevels(slog.LevelInfo, map[string]slog.Level{"core": slog.LevelDebug, "list": slog.LevelError})
	log := New(Options{Output: &out, Levels: levels, MaxRepeats: 3, Now: func() time.Time { return now }})
	core, list := log.With(PartKey, "core"), log.With(PartKey, "list")
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
	levels.Set(slog.LevelWarn, map[string]slog.Level{"list": slog.LevelInfo})
	core.Info("unseen after the change")
	list.Info("seen after the change")
	if text := out.String(); strings.Contains(text, "unseen") || !strings.Contains(text, "seen after the change") {
		t.Error(text)
	}
	now = now.Add(time.Second)
	core.Warn("flood")
	if !strings.Contains(out.String(), "left_out=7") {
		t.Error(out.String())
	}
}

func TestJSON(t *testing.T) {
	var out bytes.Buffer
	New(Options{Output: &out, JSON: true}).With(PartKey, "core").Info("a line", "call", "x")
	if !strings.Contains(out.String(), `"msg":"a line","part":"core","call":"x"`) {
		t.Error(out.String())
	}
	if _, err := ParseLevel("loud"); err == nil {
		t.Error("an unknown level was accepted")
	}
}
