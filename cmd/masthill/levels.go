package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sort"
	"text/tabwriter"
	"time"

	"masthill/control/levels"
	"masthill/internal/config"
	"masthill/internal/ctl"
	"masthill/internal/fleet"
)

// levelsCmd prints the last changes of the level of service, of one instance or of a fleet.
type levelsCmd struct {
	Socket string `help:"Control socket of the instance (default: the one in the settings)." placeholder:"PATH"`
	Fleet  string `help:"File that describes a fleet; prints the changes of all its instances, side by side." placeholder:"FLEET.toml"`
	JSON   bool   `help:"Print each change as a JSON line."`
}

// instanceChange is one change of the level of service at one instance.
type instanceChange struct {
	Instance string `json:"instance"`
	levels.Change
}

func (c levelsCmd) Run(out stdout) error {
	ctx := context.Background()
	sockets := []string{c.Socket}
	switch {
	case c.Fleet != "":
		spec, err := fleet.Load(c.Fleet)
		if err != nil {
			return exitError{exitUsage, err}
		}
		st, err := fleet.Dial(spec).Status(ctx)
		if err != nil {
			return withNoAnswerCode(err)
		}
		sockets = nil
		for _, m := range st.Instances {
			sockets = append(sockets, m.Socket)
		}
	case c.Socket == "":
		settings, err := config.LoadOperatorSettings(os.Getenv)
		if err != nil {
			return exitError{exitUsage, err}
		}
		if sockets[0] = settings.Socket.Path; sockets[0] == "" {
			return exitError{exitUsage, errors.New("no socket: set socket.path in the settings, or give --socket or --fleet")}
		}
	}
	var names []string
	var changes []instanceChange
	for _, path := range sockets {
		st, err := ctl.FetchStatus(ctx, path)
		if err != nil && c.Fleet != "" { // the other instances are still printed
			fmt.Fprintf(os.Stderr, "masthill: %s: %v\n", path, err)
			continue
		}
		if err != nil {
			return withNoAnswerCode(err)
		}
		names = append(names, st.Name)
		for _, ch := range st.Levels {
			changes = append(changes, instanceChange{st.Name, ch})
		}
	}
	sort.SliceStable(changes, func(i, j int) bool { return changes[i].At < changes[j].At })
	if c.JSON {
		for _, e := range changes {
			if err := json.NewEncoder(out).Encode(e); err != nil {
				return err
			}
		}
		return nil
	}
	return printChanges(out, names, changes)
}

// printChanges prints a table with a column for each instance and a line for each change.
func printChanges(out stdout, names []string, changes []instanceChange) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "time")
	currentLevels := map[string]levels.Level{}
	for _, name := range names {
		fmt.Fprint(t, "\t", name)
	}
	fmt.Fprintln(t, "\tby\treason\treading\tuntil")
	for _, e := range changes {
		currentLevels[e.Instance] = e.To
		fmt.Fprint(t, time.Unix(0, e.At).UTC().Format("15:04:05.0"))
		for _, name := range names {
			fmt.Fprint(t, "\t", currentLevels[name])
		}
		fmt.Fprintf(t, "\t%s\t%s\t%.2f\t%s\n", e.Instance, e.Reason, e.Score, e.ExitCondition)
	}
	if len(changes) == 0 {
		fmt.Fprintln(t, "no change")
	}
	return t.Flush()
}
