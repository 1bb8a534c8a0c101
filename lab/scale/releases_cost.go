package scale

import (
	"math"
	"os"
	"time"

	"gonum.org/v1/gonum/stat"
)

// ReleaseCost is what distribution costs at one size.
type ReleaseCost struct {
	Size    int `json:"size"`
	Servers int `json:"servers"`
	Changes int `json:"changes"`
	// The costs of a member, a second: sent and received, with the headers of IP and TCP. At rest nothing is published.
	IdleBytes       float64 `json:"rest_wire_bytes_s"`
	IdleSegments    float64 `json:"rest_segments_s"`
	IdleCPU         float64 `json:"rest_cpu_percent"`
	BusyBytes       float64 `json:"busy_wire_bytes_s"` // while releases come one after the other
	BusyCPU         float64 `json:"busy_cpu_percent"`
	BytesPerRelease float64 `json:"change_wire_bytes"` // that one release adds
	Memory          float64 `json:"memory_mb"`         // resident, of the process over its members
	Heap            float64 `json:"heap_mb"`
	AgeP99          float64 `json:"age_p99_ms"` // of what a member knows, at rest
	AgeMax          float64 `json:"age_max_ms"`
	// The costs of the busiest server, a second.
	ServerCPU    float64 `json:"server_cpu_percent"`
	ServerMemory float64 `json:"server_memory_mb"`
	ServerBytes  float64 `json:"server_wire_bytes_s"` // of all members' traffic, over the servers
	// From the publication until a release is in force: over all members and releases.
	AppliedP99  float64        `json:"in_force_p99_ms"`
	AppliedMax  float64        `json:"in_force_max_ms"`
	Missing     int            `json:"missing"` // members without a release, over all releases
	Faults      []ReleaseFault `json:"faults,omitempty"`
	OthersCores float64        `json:"others_cores"`
	LoadAverage float64        `json:"load_average"`
}

// ReleaseFault is what a fault did to a fleet that takes releases.
type ReleaseFault struct {
	Kind        string  `json:"kind"`
	Affected    int     `json:"struck"`
	AppliedP99  float64 `json:"in_force_p99_ms"` // of the release published meanwhile, at the members that were not struck
	AppliedMax  float64 `json:"in_force_max_ms"`
	RecoveredMS float64 `json:"healed_ms"` // from the fault's end until all members ran the newest release
	MaxAgeMS    float64 `json:"stale_ms"`  // the greatest age that was told
	AgesTooLow  int     `json:"wrong"`     // members that told less than the time since they could hear
	PeakBytes   float64 `json:"peak_wire_bytes_s"`
}

// p99 is the 99th percentile of sorted values.
func p99(sorted []float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return stat.Quantile(0.99, stat.Empirical, sorted, nil)
}

// use is what the run has used so far.
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

// each is a member's bytes, segments and processor time, a second, from one look to another.
func (r *releaseTest) perMember(from, to resourceUse) (bytes, segments, cpu float64) {
	seconds, n := to.at.Sub(from.at).Seconds(), float64(r.Size)
	carried := to.wire.minus(from.wire)
	return float64(carried.withHeaders()) / seconds / n, float64(carried.Segments) / seconds / n, 100 * (to.cpu - from.cpu).Seconds() / seconds / n
}

// ownCores is what the run's own processes used of the machine since a look at it, in cores.
func (r *releaseTest) ownCores(since MachineLoad) float64 {
	u := r.readUse()
	used := u.cpu
	for _, cpu := range u.servers {
		used += cpu
	}
	return used.Seconds() / (float64(time.Now().UnixNano()-since.At) / 1e9)
}

// releaseLines fits the costs of distribution over sizes.
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
