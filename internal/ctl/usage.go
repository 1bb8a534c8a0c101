package ctl

import (
	"fmt"
	"os"
	"strings"
)

// Usage reads from /proc the resident memory of this process, in MB, and the number of its open descriptors; 0 where that
// can't be read.
func Usage() (memoryMB float64, descriptors int) {
	if text, err := os.ReadFile("/proc/self/status"); err == nil {
		for line := range strings.Lines(string(text)) {
			var kb float64
			if n, _ := fmt.Sscanf(line, "VmRSS: %f kB", &kb); n == 1 {
				memoryMB = kb / 1024
			}
		}
	}
	if names, err := os.ReadDir("/proc/self/fd"); err == nil {
		descriptors = len(names) - 1 // without that of the directory being read
	}
	return memoryMB, descriptors
}
