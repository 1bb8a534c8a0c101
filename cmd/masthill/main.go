// Command masthill runs one session controller, which takes calls from callers and places each at an office. Further
// commands check its files, show the status of an instance, publish configuration releases, and run many instances on
// one machine.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
)

// The exit codes.
const (
	exitOK       = 0
	exitFailed   = 1 // the command failed
	exitUsage    = 2 // the command line or a file is wrong; retrying does not help
	exitNoAnswer = 3 // no instance, supervisor or configuration server answers
	exitHalted   = 4 // a rollout or a release was halted; a rollout was rolled back if the fleet's file asks for that
)

// exitError is an error with the exit code to end with.
type exitError struct {
	code int
	error
}

// Unwrap returns the error without its exit code, for errors.Is and errors.As.
func (c exitError) Unwrap() error { return c.error }

// cli is the command line.
type cli struct {
	Serve   serveCmd   `cmd:"" default:"1" help:"Serve calls. This is the default command, which the platform runs."`
	Check   checkCmd   `cmd:"" help:"Check all configuration files, and print each fault with file, line and key."`
	Status  statusCmd  `cmd:"" help:"Print the status of an instance, queried over its control socket."`
	Levels  levelsCmd  `cmd:"" help:"Print the latest changes of the level of service, of one instance or of all instances of a fleet."`
	Peers   peersCmd   `cmd:"" help:"Print what an instance knows of its fleet: members, budgets held, counts and outlier decisions."`
	Config  configCmd  `cmd:"" help:"Create, publish and serve configuration releases, and follow their rollout through a fleet."`
	Fleet   fleetCmd   `cmd:"" help:"Run, restart and upgrade many instances on this machine."`
	Version versionCmd `cmd:"" help:"Print the version."`
	Help    helpCmd    `cmd:"" help:"Print this help, or that of a command."`
	Launch  launchCmd  `cmd:"" hidden:"" help:"Lock the instance's directory, pass on the listening sockets and execute the program."`
}

// signals are the operating system's signals that a running program handles.
type signals struct{ term, reload chan os.Signal }

// kongExit is the exit code with which kong wants to exit, passed to run as a panic.
type kongExit int

// stdout is the writer that commands print to; tests set another one.
type stdout struct{ io.Writer }

func main() {
	// Caught before anything else, because by default either signal ends the program at once.
	s := signals{term: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.term, syscall.SIGTERM, os.Interrupt)
	signal.Notify(s.reload, syscall.SIGHUP)
	os.Exit(run(os.Args[1:], s, os.Stdout, os.Stderr))
}

// run executes one command line and returns the exit code.
func run(args []string, s signals, out, errOut io.Writer) (code int) {
	if len(args) == 0 { // as the platform starts it; without the parser's tables, to save memory
		return reportError(serveCmd{}.Run(s), errOut)
	}
	defer func() { // kong exits in the middle of parsing after it has printed help
		if r := recover(); r != nil {
			exit, ok := r.(kongExit)
			if !ok {
				panic(r)
			}
			code = int(exit)
		}
	}()
	var c cli
	parser, err := kong.New(&c, kong.Name("masthill"), kong.Writers(out, errOut),
		kong.Description("A session controller. Exit codes: 0 success; 1 failure; 2 invalid command line or file; "+
			"3 no instance, supervisor or configuration server answers; 4 a rollout or a release was halted."),
		kong.Exit(func(code int) { panic(kongExit(code)) }), kong.Bind(s), kong.Bind(stdout{out}), kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		panic(err) // the cli struct is invalid
	}
	if len(args) > 0 && args[0] == "help" {
		args = append(args[1:len(args):len(args)], "--help")
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(errOut, "masthill:", err)
		return exitUsage
	}
	return reportError(ctx.Run(), errOut)
}

// reportError prints err, if it is not nil, and returns its exit code.
func reportError(err error, errOut io.Writer) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(errOut, "masthill:", err)
	var withCode exitError
	if errors.As(err, &withCode) {
		return withCode.code
	}
	return exitFailed
}

type helpCmd struct {
	Command []string `arg:"" optional:"" help:"The command to print the help of."`
}

// Run is never reached: the function run turns "help COMMAND" into "COMMAND --help" before parsing.
func (helpCmd) Run() error { return nil }

type versionCmd struct{}

func (versionCmd) Run(out stdout) error {
	fmt.Fprintln(out, version())
	return nil
}

// version is the version of the program as the build recorded it: that of the module, or the commit.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && (v == "" || v == "(devel)") {
			v = s.Value[:min(12, len(s.Value))]
		}
	}
	if v == "" {
		v = "(devel)"
	}
	return v
}
