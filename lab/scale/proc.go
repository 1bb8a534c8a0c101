package scale

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTicks is how many units of processor time in /proc make a second.
const clockTicks = 100

// residentOf is a process's resident anonymous memory, in bytes, which excludes the program's mapped file.
func residentOf(pid int) int64 {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			return kb << 10
		}
	}
	return 0
}

// cpuOf is the processor time that a process has used.
func cpuOf(pid int) time.Duration {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * (time.Second / clockTicks)
}

// MachineLoad is the processor use of the whole machine at one time.
type MachineLoad struct {
	At          int64   `json:"at"`
	BusySeconds float64 `json:"busy_core_s"` // processor time of all processes since boot
	LoadAverage float64 `json:"load_average"`
}

// ReadMachineLoad reads the processor use of the machine.
func ReadMachineLoad() MachineLoad {
	m := MachineLoad{At: time.Now().UnixNano()}
	if text, err := os.ReadFile("/proc/loadavg"); err == nil {
		m.LoadAverage, _ = strconv.ParseFloat(strings.Fields(string(text))[0], 64)
	}
	if text, err := os.ReadFile("/proc/stat"); err == nil {
		line, _, _ := strings.Cut(string(text), "\n")
		for k, f := range strings.Fields(line) {
			ticks, _ := strconv.ParseFloat(f, 64)
			if k >= 1 && k <= 8 && k != 4 && k != 5 { // all but idle and iowait
				m.BusySeconds += ticks / clockTicks
			}
		}
	}
	return m
}

// cores is how many cores were busy on average between two readings.
func cores(from, to MachineLoad) float64 {
	return (to.BusySeconds - from.BusySeconds) / (float64(to.At-from.At) / 1e9)
}
