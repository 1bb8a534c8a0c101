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

// configuring takes configuration releases from the fleet's servers. Nothing waits for them: what is in force goes on.
func configuring(in *instance) (part, error) {
	s := in.own.Distribution
	if len(s.Servers) == 0 {
		return part{}, nil
	}
	member := releases.NewMember(releases.MemberOptions{Name: in.p.Name, Zone: s.Zone, Fleet: s.Fleet, Servers: s.Servers, Keys: s.PublicKeys,
		MaxAge: s.MaxAge, Dir: s.Dir, Seed: in.p.Seed, Log: in.log.With(logs.PartKey, "releases"), Apply: in.applyRelease,
		Dial: descriptors.Dialer(in.descriptors.shortage)})
	return part{run: member.Run, status: func(st *ctl.Status) {
		status := member.Status()
		st.Release = &status
	}}, nil
}

// applyRelease puts a release in force, or without one what the instance's own files say. A release with a fault in it
// changes nothing.
func (in *instance) applyRelease(release *distribution.Release) error {
	live := &config.LiveSettings{}
	if release != nil {
		var err error
		live, err = config.ParseLiveSettings(fmt.Sprintf("release %d", release.Version), string(release.Content), os.Getenv)
		if err != nil {
			return err
		}
	}
	tenants, err := live.TenantFractions(in.p.Shares)
	if err != nil {
		return err
	}
	level, byPart := in.own.Log.Level, in.own.Log.Levels
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
	if err := in.checkUsed(live); err != nil {
		return err
	}
	in.logLevels.Set(general, parts)
	if in.shares != nil {
		in.core.Inspect(func() { in.shares.SetFractions(tenants) })
	}
	if in.controls != nil {
		callers := in.own.CallWS.Callers
		if live.CallWS.Callers != nil {
			callers = live.CallWS.Callers
		}
		in.controls.SetCallers(callers)
	}
	return nil
}

// checkUsed finds what a release wants to change and this instance does not use.
func (in *instance) checkUsed(live *config.LiveSettings) error {
	if live.Shares.Fractions != nil && in.shares == nil {
		return config.Fault{Key: "shares.fractions", Text: "shares are off at this instance"}
	}
	if live.CallWS.Callers != nil && in.controls == nil {
		return config.Fault{Key: "callws.callers", Text: "call control over WebSocket is off at this instance"}
	}
	return nil
}
