package ctl

import (
	"bytes"
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"masthill/internal/exchange"
	"masthill/internal/netcase"
)

func TestControlSocket(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ctl")
	if _, err := FetchStatus(t.Context(), path); !errors.Is(err, ErrNotRunning) {
		t.Error(err)
	}
	if l, err := net.Listen("unix", path); err != nil { // left by a process that died
		t.Fatal(err)
	} else {
		l.(*net.UnixListener).SetUnlinkOnClose(false)
		l.Close()
	}
	l, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Error(info, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	tcp := netcase.Listen(t)
	want := Status{Name: "n3", Phase: Recovering, ListAgeMS: -1, Core: exchange.Status{Open: 3,
		Offices: []exchange.OfficeState{{ID: "a", Listed: "serving", Cold: true, InBackoff: true, CapacityFraction: 0.5}}}}
	go func() {
		done <- Serve(ctx, l, path, netcase.DiscardLogger(), func() Status { return want }, map[string]net.Listener{"callers": tcp})
	}()
	if _, err := Listen(path); err == nil {
		t.Error("a second process took the socket over")
	}
	// Clients that connect and send nothing block others only until the timeout.
	for range maxConns {
		c, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	ctx2, cancel2 := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel2()
	got, err := FetchStatus(ctx2, path)
	if err != nil || got.Name != "n3" || got.Core.Open != 3 || got.Phase != Recovering {
		t.Fatal(got, err)
	}
	var out bytes.Buffer
	got.WriteText(&out)
	if !strings.Contains(out.String(), "cold marked") || !strings.Contains(out.String(), "never heard") {
		t.Error(out.String())
	}
	files, err := FetchListeners(t.Context(), path)
	if err != nil || files["callers"] == nil {
		t.Fatal(files, err)
	}
	tcp.Close()
	again, err := net.FileListener(files["callers"])
	if err != nil || again.Addr().String() != tcp.Addr().String() {
		t.Fatal(again, err)
	}
	if c, err := net.Dial("tcp", tcp.Addr().String()); err != nil { // the copy still listens
		t.Error(err)
	} else {
		c.Close()
	}
	again.Close()
	files["callers"].Close()
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
	if _, err := os.Stat(path); err == nil {
		t.Error("the socket was not removed")
	}
	file := filepath.Join(t.TempDir(), "file")
	os.WriteFile(file, nil, 0o600)
	if _, err := Listen(file); err == nil {
		t.Error("a file that is no socket was replaced")
	}
}
