package main

import (
	"fmt"
	"os"

	"masthill/control/distribution"
	"masthill/internal/config"
	"masthill/internal/ctl"
	"masthill/internal/descriptors"
	"masthill/internal/logs"
	"masthill/internal/releases"
)

// newReleaseMember makes the subsystem that follows configuration releases from the fleet's configuration servers.
// Nothing waits for the servers: until a release arrives, the configuration in force stays.
func newReleaseMember(in *instance) (subsystem, error) {
	s := in.settings.Distribution
	if len(s.Servers) == 0 {
		return subsystem{}, nil
	}
	member := releases.NewMember(releases.MemberOptions{Name: in.platform.Name, Zone: s.Zone, Fleet: s.Fleet, Servers: s.Servers, Keys: s.PublicKeys,
		MaxAge: s.MaxAge, Dir: s.Dir, Seed: in.platform.Seed, Log: in.log.With(logs.PartKey, "releases"), Apply: in.applyRelease,
		Dial: descriptors.Dialer(in.descriptors.onShortage)})
	return subsystem{run: member.Run, status: func(st *ctl.Status) {
		status := member.Status()
		st.Release = &status
	}}, nil
}

// applyRelease applies a release or, if it is nil, the instance's own files. A release with a fault changes nothing.
func (in *instance) applyRelease(release *distribution.Release) error {
	live := &config.LiveSettings{}
	if release != nil {
		var err error
		live, err = config.ParseLiveSettings(fmt.Sprintf("release %d", release.Version), string(release.Content), os.Getenv)
		if err != nil {
			return err
		}
	}
	tenants, err := live.TenantFractions(in.platform.Shares)
	if err != nil {
		return err
	}
	level, byPart := in.settings.Log.Level, in.settings.Log.Levels
	if live.Log.Level != "" {
		level = live.Log.Level
	}
	if live.Log.Levels != nil {
		byPart = live.Log.Levels
	}
	general, parts, err := logLevels(level, byPart)
	if err != nil {
		return err
	}
	if err := in.checkSubsystemsEnabled(live); err != nil {
		return err
	}
	in.logLevels.Set(general, parts)
	if in.shares != nil {
		in.core.Inspect(func() { in.shares.SetFractions(tenants) })
	}
	if in.callWSFront != nil {
		callers := in.settings.CallWS.Callers
		if live.CallWS.Callers != nil {
			callers = live.CallWS.Callers
		}
		in.callWSFront.SetCallers(callers)
	}
	return nil
}

// checkSubsystemsEnabled returns a fault for a setting of a release that belongs to a subsystem which is off at this
// instance.
func (in *instance) checkSubsystemsEnabled(live *config.LiveSettings) error {
	if live.Shares.Fractions != nil && in.shares == nil {
		return config.Fault{Key: "shares.fractions", Text: "shares are off at this instance"}
	}
	if live.CallWS.Callers != nil && in.callWSFront == nil {
		return config.Fault{Key: "callws.callers", Text: "call control over WebSocket is off at this instance"}
	}
	return nil
}
