package notify

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

func env(pairs ...string) func(string) string {
	return func(name string) string {
		for k := 0; k < len(pairs); k += 2 {
			if pairs[k] == name {
				return pairs[k+1]
			}
		}
		return ""
	}
}

func TestNotifications(t *testing.T) {
	path := filepath.Join(t.TempDir(), "notify")
	l, err := net.ListenUnixgram("unixgram", &net.UnixAddr{Name: path, Net: "unixgram"})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	receive := func() string {
		b := make([]byte, 1024)
		n, err := l.Read(b)
		if err != nil {
			t.Fatal(err)
		}
		return string(b[:n])
	}
	m, err := Open(env("NOTIFY_SOCKET", path, "WATCHDOG_USEC", "20000", "WATCHDOG_PID", strconv.Itoa(os.Getpid())))
	if err != nil {
		t.Fatal(err)
	}
	m.Ready("serving\nREADY=0")
	if got := receive(); got != "READY=1\nSTATUS=serving READY=0" {
		t.Errorf("%q", got)
	}
	m.Reloading()
	if got := receive(); !strings.HasPrefix(got, "RELOADING=1\nMONOTONIC_USEC=") {
		t.Errorf("%q", got)
	}
	m.Stopping("x")
	if got := receive(); got != "STOPPING=1\nSTATUS=x" {
		t.Errorf("%q", got)
	}
	// No keep-alive message is sent while the core hangs.
	ctx, cancel := context.WithCancel(t.Context())
	hang, ended := make(chan struct{}), make(chan struct{})
	checks := 0
	go func() {
		m.RunWatchdog(ctx, func() {
			if checks++; checks > 2 {
				<-hang
			}
		})
		close(ended)
	}()
	for range 2 {
		if got := receive(); got != "WATCHDOG=1" {
			t.Errorf("no keep-alive message: %q", got)
		}
	}
	l.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if n, _ := l.Read(make([]byte, 100)); n > 0 {
		t.Error("a keep-alive message while the core hangs")
	}
	cancel()
	close(hang)
	<-ended
}

func TestWithoutAManager(t *testing.T) {
	m, err := Open(env())
	if m != nil || err != nil {
		t.Fatal(m, err)
	}
	m.Ready("x")
	m.RunWatchdog(t.Context(), nil)
	if _, err := Open(env("NOTIFY_SOCKET", "/nowhere/at/all")); err == nil {
		t.Error("no error for a manager that doesn't exist")
	}
	for _, e := range []func(string) string{env(), env("LISTEN_FDS", "1", "LISTEN_PID", "1"), env("LISTEN_FDS", "x", "LISTEN_PID", strconv.Itoa(os.Getpid()))} {
		if l, err := Listeners(e); l != nil || err != nil {
			t.Error("sockets of another process", l, err)
		}
	}
}
