package scale

import (
	"math"
	"os"
	"time"

	"gonum.org/v1/gonum/stat"
)

// ReleaseCost holds the cost of distributing releases in a fleet of one size.
type ReleaseCost struct {
	Size    int `json:"size"`
	Servers int `json:"servers"`
	Changes int `json:"changes"`
	// The costs of a member per second: sent and received, with the headers of IP and TCP. Idle: nothing is published.
	IdleBytes       float64 `json:"rest_wire_bytes_s"`
	IdleSegments    float64 `json:"rest_segments_s"`
	IdleCPU         float64 `json:"rest_cpu_percent"`
	BusyBytes       float64 `json:"busy_wire_bytes_s"` // while releases are published one after the other
	BusyCPU         float64 `json:"busy_cpu_percent"`
	BytesPerRelease float64 `json:"change_wire_bytes"` // added by one release
	Memory          float64 `json:"memory_mb"`         // resident memory of the process, divided by its members
	Heap            float64 `json:"heap_mb"`
	AgeP99          float64 `json:"age_p99_ms"` // of what a member knows, idle
	AgeMax          float64 `json:"age_max_ms"`
	// The costs of the busiest server, per second.
	ServerCPU    float64 `json:"server_cpu_percent"`
	ServerMemory float64 `json:"server_memory_mb"`
	ServerBytes  float64 `json:"server_wire_bytes_s"` // the traffic of all members, divided by the servers
	// Time from the publication of a release until a member applies it, over all members and releases.
	AppliedP99  float64        `json:"in_force_p99_ms"`
	AppliedMax  float64        `json:"in_force_max_ms"`
	Missing     int            `json:"missing"` // members that did not apply a release in time, over all releases
	Faults      []ReleaseFault `json:"faults,omitempty"`
	OthersCores float64        `json:"others_cores"`
	LoadAverage float64        `json:"load_average"`
}

// ReleaseFault holds the effects of a fault on the distribution of releases.
type ReleaseFault struct {
	Kind        string  `json:"kind"`
	Affected    int     `json:"struck"`
	AppliedP99  float64 `json:"in_force_p99_ms"` // of the release published meanwhile, at the members that are not affected
	AppliedMax  float64 `json:"in_force_max_ms"`
	RecoveredMS float64 `json:"healed_ms"` // from the fault's end until all members have applied the newest release; -1: timed out
	MaxAgeMS    float64 `json:"stale_ms"`  // the greatest age that a member reported
	AgesTooLow  int     `json:"wrong"`     // times that a member reported less than the time since it was cut off
	PeakBytes   float64 `json:"peak_wire_bytes_s"`
}

// p99 is the 99th percentile of sorted values.
func p99(sorted []float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return stat.Quantile(0.99, stat.Empirical, sorted, nil)
}

// resourceUse holds the processor time and traffic of the run so far.
type resourceUse struct {
	at      time.Time
	cpu     time.Duration
	servers []time.Duration
	wire    traffic
}

func (r *releaseTest) readUse() resourceUse {
	u := resourceUse{at: time.Now(), cpu: cpuOf(os.Getpid()), wire: r.tap.carried()}
	for _, cmd := range r.running() {
		u.servers = append(u.servers, cpuOf(cmd.Process.Pid))
	}
	return u
}

// perMember is a member's bytes, segments and percent of a core, per second, between two readings.
func (r *releaseTest) perMember(from, to resourceUse) (bytes, segments, cpu float64) {
	seconds, n := to.at.Sub(from.at).Seconds(), float64(r.Size)
	carried := to.wire.minus(from.wire)
	return float64(carried.withHeaders()) / seconds / n, float64(carried.Segments) / seconds / n, 100 * (to.cpu - from.cpu).Seconds() / seconds / n
}

// ownCores is how many cores the run's own processes have used on average since a reading of the machine.
func (r *releaseTest) ownCores(since MachineLoad) float64 {
	u := r.readUse()
	used := u.cpu
	for _, cpu := range u.servers {
		used += cpu
	}
	return used.Seconds() / (float64(time.Now().UnixNano()-since.At) / 1e9)
}

// releaseLines fits the costs of distributing releases over the sizes of fleets.
func releaseLines(all []*ReleaseCost) []Line {
	var sizes, bytes, cpu, memory, inForce, server []float64
	for _, c := range all {
		sizes, bytes, cpu = append(sizes, float64(c.Size)), append(bytes, c.IdleBytes), append(cpu, c.IdleCPU)
		memory, inForce, server = append(memory, c.Memory), append(inForce, c.AppliedMax), append(server, c.ServerCPU)
	}
	const of = "members"
	return []Line{
		FitLine("bytes of a member a second, at rest, both ways, with headers", of, sizes, bytes),
		FitLine("processor of a member at rest, percent of a core", of, sizes, cpu),
		FitLine("memory of a member, MB", of, sizes, memory),
		FitLine("a release in force everywhere, ms", of, sizes, inForce),
		FitLine("processor of the busiest server, percent of a core", of, sizes, server),
	}
}
