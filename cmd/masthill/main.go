// Command masthill is one session controller: it takes calls from callers and places each at an office. Further
// commands check its files, tell what an instance does, and run many of them on one machine.
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
	exitFailed   = 1 // what was asked for failed
	exitUsage    = 2 // the command line or a file is wrong; trying again is no use
	exitNoAnswer = 3 // no instance answers
	exitHalted   = 4 // a rollout halted, and was turned back where that was asked for
)

// coded is an error with the exit code that it means.
type exitError struct {
	code int
	error
}

func (c exitError) Unwrap() error { return c.error }

// cli is the command line.
type cli struct {
	Serve   serveCmd   `cmd:"" default:"1" help:"Serve calls, as the platform starts it. The default."`
	Check   checkCmd   `cmd:"" help:"Check every file that the program reads, and name each fault with file, line and key."`
	Status  statusCmd  `cmd:"" help:"Tell what an instance does, over its control socket."`
	Levels  levelsCmd  `cmd:"" help:"Print the last changes of the level of service, of one instance or of a fleet side by side."`
	Peers   peersCmd   `cmd:"" help:"Tell what an instance knows of the others: members, budgets held, counts, judgements."`
	Config  configCmd  `cmd:"" help:"Make, publish and serve configuration releases, and follow them through a fleet."`
	Fleet   fleetCmd   `cmd:"" help:"Run and change many instances on this machine."`
	Version versionCmd `cmd:"" help:"Print the version."`
	Help    helpCmd    `cmd:"" help:"Print this."`
	Launch  launchCmd  `cmd:"" hidden:"" help:"Take over passed listening sockets and become the program."`
}

// signals are what the platform tells a running program.
type signals struct{ term, reload chan os.Signal }

// leave is the exit code that kong asks for.
type kongExit int

// stdout is where commands print, but for tests.
type stdout struct{ io.Writer }

func main() {
	// Caught before anything else: by default either signal would end the program at once.
	s := signals{term: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.term, syscall.SIGTERM, os.Interrupt)
	signal.Notify(s.reload, syscall.SIGHUP)
	os.Exit(run(os.Args[1:], s, os.Stdout, os.Stderr))
}

// run runs one command line and gives the exit code.
func run(args []string, s signals, out, errs io.Writer) (code int) {
	if len(args) == 0 { // as the platform starts it, where each megabyte counts: the parser's tables are not made
		return reportError(serveCmd{}.Run(s), errs)
	}
	defer func() { // kong asks to leave in the middle of parsing, after help
		if r := recover(); r != nil {
			exit, ok := r.(kongExit)
			if !ok {
				panic(r)
			}
			code = int(exit)
		}
	}()
	var c cli
	parser, err := kong.New(&c, kong.Name("masthill"), kong.Writers(out, errs),
		kong.Description("A session controller. Exit codes: 0 done; 1 failed; 2 the command line or a file is wrong; "+
			"3 no instance answers; 4 a rollout halted."),
		kong.Exit(func(code int) { panic(kongExit(code)) }), kong.Bind(s), kong.Bind(stdout{out}), kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		panic(err) // a fault of the program
	}
	if len(args) > 0 && args[0] == "help" {
		args = append(args[1:len(args):len(args)], "--help")
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(errs, "masthill:", err)
		return exitUsage
	}
	return reportError(ctx.Run(), errs)
}

// finish prints an error and gives its exit code.
func reportError(err error, errs io.Writer) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(errs, "masthill:", err)
	var withCode exitError
	if errors.As(err, &withCode) {
		return withCode.code
	}
	return exitFailed
}

type helpCmd struct {
	Command []string `arg:"" optional:"" help:"The command to explain."`
}

// Run is never reached: run asks for help in its place, which knows the command that help is wanted for.
func (helpCmd) Run() error { return nil }

type versionCmd struct{}

func (versionCmd) Run(out stdout) error {
	fmt.Fprintln(out, version())
	return nil
}

// version is the program's, from what the build noted: a version of the module, or the commit.
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
