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

func TestTheManagerIsTold(t *testing.T) {
	path := filepath.Join(t.TempDir(), "notify")
	l, err := net.ListenUnixgram("unixgram", &net.UnixAddr{Name: path, Net: "unixgram"})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	hear := func() string {
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
	if got := hear(); got != "READY=1\nSTATUS=serving READY=0" {
		t.Errorf("%q", got)
	}
	m.Reloading()
	if got := hear(); !strings.HasPrefix(got, "RELOADING=1\nMONOTONIC_USEC=") {
		t.Errorf("%q", got)
	}
	m.Stopping("x")
	if got := hear(); got != "STOPPING=1\nSTATUS=x" {
		t.Errorf("%q", got)
	}
	// A core that hangs gives no sign of life.
	ctx, cancel := context.WithCancel(t.Context())
	hang, ended := make(chan struct{}), make(chan struct{})
	alive := 0
	go func() {
		m.RunWatchdog(ctx, func() {
			if alive++; alive > 2 {
				<-hang
			}
		})
		close(ended)
	}()
	for range 2 {
		if got := hear(); got != "WATCHDOG=1" {
			t.Errorf("no sign of life: %q", got)
		}
	}
	l.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if n, _ := l.Read(make([]byte, 100)); n > 0 {
		t.Error("a sign of life while the core hangs")
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
		t.Error("a manager that is not there")
	}
	for _, e := range []func(string) string{env(), env("LISTEN_FDS", "1", "LISTEN_PID", "1"), env("LISTEN_FDS", "x", "LISTEN_PID", strconv.Itoa(os.Getpid()))} {
		if l, err := Listeners(e); l != nil || err != nil {
			t.Error("sockets of another process", l, err)
		}
	}
}
