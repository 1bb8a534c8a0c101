package hostile

import (
	"context"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// watchMemory reads the resident memory of a process until ctx ends. The function that it returns tells the greatest and the
// latest figure, in MB; the latter is 0 once the process has ended.
func watchMemory(ctx context.Context, pid int) func() (peak, last float64) {
	var mu sync.Mutex
	var peak, last float64
	go func() {
		tick := time.NewTicker(memorySampleInterval)
		defer tick.Stop()
		for {
			now := residentMB(pid)
			mu.Lock()
			peak, last = max(peak, now), now
			mu.Unlock()
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
		}
	}()
	return func() (float64, float64) {
		mu.Lock()
		defer mu.Unlock()
		return peak, last
	}
}

// residentMB is a process's resident memory in MB; 0: it has ended.
func residentMB(pid int) float64 {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 64)
			return kb / 1024
		}
	}
	return 0
}
