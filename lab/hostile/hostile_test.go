package hostile

import (
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// program is the program under test.
var program string

// TestMain builds the program, or is the good client of a test.
func TestMain(m *testing.M) {
	if len(os.Args) == 8 && os.Args[1] == "good-client" {
		duration, _ := time.ParseDuration(os.Args[7])
		r, err := RunGoodClient(context.Background(), Front(os.Args[3]), os.Args[5], duration)
		if err != nil {
			panic(err)
		}
		json.NewEncoder(os.Stdout).Encode(r)
		return
	}
	dir, err := os.MkdirTemp("", "hostile")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "masthill")
	if out, err := exec.Command("go", "build", "-o", program, "masthill/cmd/masthill").CombinedOutput(); err != nil {
		os.Stderr.Write(out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// play plays an attack for a time.
func play(t *testing.T, front Front, name string, duration time.Duration) Result {
	t.Helper()
	for _, a := range Attacks {
		if a.Front != front || a.Name != name {
			continue
		}
		r, err := Run(t.Context(), Options{Program: program, Lab: os.Args[0], Dir: t.TempDir(), Attack: a, GoodFront: front, Duration: duration,
			Clients: 400, Seed: 1, OfficeTime: 10 * time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	t.Fatalf("no attack %s/%s", front, name)
	return Result{}
}

// Guards against late answers and refusals: while one client sent small requests at full speed, the others' input stayed
// unread for up to 0.7 s at a time.
func TestFloodDelaysNoOtherClient(t *testing.T) {
	for _, a := range []struct {
		front Front
		name  string
	}{{SIP, "unknown"}, {WebSocket, "impatient"}} {
		t.Run(string(a.front)+"/"+a.name, func(t *testing.T) {
			r := play(t, a.front, a.name, 3*time.Second)
			t.Logf("%+v", r.Good)
			for _, text := range r.Broken(PlatformBounds) {
				t.Error(text)
			}
		})
	}
}

// Guards against calls that run on without their caller: those at an office that had come up at the address of one that the list
// then removed. Their callers were told that they had been cut, and no release was sent to the office.
func TestCallsAtReplacedOfficeAreReleased(t *testing.T) {
	for _, front := range []Front{SIP, WebSocket} {
		t.Run(string(front), func(t *testing.T) {
			r, err := RunReplacement(t.Context(), Options{Program: program, Lab: os.Args[0], Dir: t.TempDir(), GoodFront: front, Duration: 4 * time.Second,
				Seed: 1, OfficeTime: 10 * time.Millisecond})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%+v", r)
			if r.Standing == 0 || r.Left > 0 {
				t.Errorf("of %d calls at the new office %d still stand there", r.Standing, r.Left)
			}
		})
	}
}
