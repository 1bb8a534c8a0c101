package scale

// Fault is what one fault cost a fleet.
type Fault struct {
	Kind string `json:"kind"`
}
