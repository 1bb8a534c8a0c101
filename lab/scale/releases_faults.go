package scale

import (
	"time"

	"masthill/control/distribution"
)

// runFaults injects all faults of servers and members, one after the other.
func (r *releaseTest) runFaults() error {
	for _, play := range []func(*ReleaseFault) error{r.serverLost, r.serversRestarted, r.regionCutOff, r.allServersLost} {
		fault := &ReleaseFault{}
		if err := play(fault); err != nil {
			return err
		}
		r.result.Faults = append(r.result.Faults, *fault)
		r.logf("  %s: %d affected; applied elsewhere after %.0f ms (p99), %.0f at most; recovered after %.0f ms; greatest age reported %.0f ms, %d too low; %.0f bytes per second at most",
			fault.Kind, fault.Affected, fault.AppliedP99, fault.AppliedMax, fault.RecoveredMS, fault.MaxAgeMS, fault.AgesTooLow, fault.PeakBytes)
	}
	return nil
}

// startSampling samples the fleet's bytes, and the ages reported by members that have been cut off since a time, until it is
// stopped.
func (r *releaseTest) startSampling(fault *ReleaseFault, cutOff []int, since time.Time) (stop func()) {
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		before := r.readUse()
		for {
			select {
			case <-quit:
				return
			case <-time.After(time.Second):
			}
			now := r.readUse()
			bytes, _, _ := r.perMember(before, now)
			fault.PeakBytes, before = max(fault.PeakBytes, bytes), now
			for _, k := range cutOff {
				minAge := time.Since(since)
				age := r.members[k].Status().AgeMS
				fault.MaxAgeMS = max(fault.MaxAgeMS, float64(age))
				if age < minAge.Milliseconds() {
					fault.AgesTooLow++
				}
			}
		}
	}()
	return func() { close(quit); <-done }
}

// publishDuringFault publishes a release during a fault, and waits until the given members have applied it.
func (r *releaseTest) publishDuringFault(fault *ReleaseFault, members []int) error {
	began, err := r.publish()
	if err != nil {
		return err
	}
	took, missing, err := r.waitForRelease(r.version, began, members)
	if err != nil {
		return err
	}
	r.result.Missing += missing
	if len(took) > 0 {
		fault.AppliedP99, fault.AppliedMax = p99(took), took[len(took)-1]
	}
	return nil
}

// waitForRecovery waits until all members have applied a version.
func (r *releaseTest) waitForRecovery(fault *ReleaseFault, version distribution.Version) error {
	began := time.Now()
	_, missing, err := r.waitForRelease(version, began, r.membersExcept())
	if err != nil {
		return err
	}
	fault.RecoveredMS = float64(time.Since(began).Milliseconds())
	if missing > 0 {
		fault.RecoveredMS = -1
	}
	return nil
}

// serverLost kills one server during the rollout of a release.
func (r *releaseTest) serverLost(fault *ReleaseFault) error {
	fault.Kind, fault.Affected = "one server lost", 1
	stop := r.startSampling(fault, nil, time.Now())
	defer stop()
	kill := time.AfterFunc(r.SecondStageAfter/2, func() { r.killServer(0) })
	defer kill.Stop()
	if err := r.publishDuringFault(fault, r.membersExcept()); err != nil {
		return err
	}
	return r.waitForRecovery(fault, r.version)
}

// serversRestarted restarts all servers, one after the other, and publishes a release meanwhile.
func (r *releaseTest) serversRestarted(fault *ReleaseFault) error {
	fault.Kind, fault.Affected = "servers restarted", r.Servers
	stop := r.startSampling(fault, nil, time.Now())
	defer stop()
	for k := range r.Servers {
		r.killServer(k)
		if err := r.startServer(k); err != nil {
			return err
		}
		if k == r.Servers/2 {
			if err := r.publishDuringFault(fault, r.membersExcept()); err != nil {
				return err
			}
		}
		if err := r.sleep(time.Second); err != nil {
			return err
		}
	}
	return r.waitForRecovery(fault, r.version)
}

// regionCutOff partitions a third of the members from all servers, and publishes a release meanwhile.
func (r *releaseTest) regionCutOff(fault *ReleaseFault) error {
	var cut []int
	for k := range r.Size / 3 {
		cut = append(cut, r.Size-1-k)
	}
	fault.Kind, fault.Affected = "region cut off", len(cut)
	r.tap.partition(cut...)
	began := time.Now()
	stop := r.startSampling(fault, cut, began)
	if err := r.publishDuringFault(fault, r.membersExcept(cut...)); err != nil {
		stop()
		return err
	}
	err := r.sleep(time.Until(began.Add(r.OutageFor)))
	stop()
	if err != nil {
		return err
	}
	r.tap.partition()
	return r.waitForRecovery(fault, r.version)
}

// allServersLost kills all servers, and publishes a release after they have been started again.
func (r *releaseTest) allServersLost(fault *ReleaseFault) error {
	fault.Kind, fault.Affected = "all servers lost", r.Servers
	for k := range r.Servers {
		r.killServer(k)
	}
	stop := r.startSampling(fault, r.membersExcept(), time.Now())
	err := r.sleep(r.OutageFor)
	stop()
	if err != nil {
		return err
	}
	for k := range r.Servers {
		if err := r.startServer(k); err != nil {
			return err
		}
	}
	if _, err := r.publish(); err != nil {
		return err
	}
	return r.waitForRecovery(fault, r.version)
}
