// Command lpctl is the operators' command line.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"

	"lupinpond/internal/base/telemetry"
)

// cli is the command line. Results go to standard output, logs to standard error.
type cli struct {
	telemetry.Flags

	Up          upCmd          `cmd:"" help:"Start gateways, the registry and emulated workers in one process."`
	Invoke      invokeCmd      `cmd:"" help:"Send one request to a gateway."`
	Check       checkCmd       `cmd:"" help:"Check a file of settings."`
	Workers     workersCmd     `cmd:"" help:"Show the registered workers, or drain or remove one."`
	Publish     publishCmd     `cmd:"" help:"Publish a package to the artifact store, and say what it makes workers fetch."`
	Package     packageCmd     `cmd:"" help:"Look at the packages of the artifact store."`
	InjectFault injectFaultCmd `cmd:"" help:"Have a worker misbehave for a time, over its control interface."`
	Scenario    scenarioCmd    `cmd:"" help:"Play fault scenarios on loopback and check the five rules."`
	CheckRules  checkRulesCmd  `cmd:"" help:"Check the five rules on a folder of captures."`
	Replay      replayCmd      `cmd:"" help:"Replay a recording of a core and compare what it does."`
	CostModel   costModelCmd   `cmd:"" help:"Measure what the decision core costs as the fleet grows, and fit curves."`
	Scale       scaleCmd       `cmd:"" help:"Run real and hollow gateways, emulated workers and a discovery service at a fleet's size on loopback."`
	Soak        soakCmd        `cmd:"" help:"Play real gateways on loopback through overlapping faults, and check the rules on the sockets."`

	ScaleChild scaleChildCmd `cmd:"" hidden:"" help:"A process of a scale run."`

	// Commands under the names that scripts may know them by.
	FormerInjectFault injectFaultCmd `cmd:"" name:"trouble" hidden:"" help:"inject-fault under its former name."`
	FormerScenario    scenarioCmd    `cmd:"" name:"rehearse" hidden:"" help:"scenario under its former name."`
	FormerCheckRules  checkRulesCmd  `cmd:"" name:"rules" hidden:"" help:"check-rules under its former name."`
	FormerCostModel   costModelCmd   `cmd:"" name:"slopes" hidden:"" help:"cost-model under its former name."`

	Completion kongplete.InstallCompletions `cmd:"" help:"Print how to install shell completion."`
}

// The exit statuses that are not success.
const (
	exitFailed = 1
	exitUsage  = 2
)

// errFailed is an end with exitFailed that has been told already.
var errFailed = errors.New("failed")

func main() { os.Exit(run(os.Args[1:])) }

// run runs a command line; it gives the exit status.
func run(args []string) (status int) {
	parser, flags := newParser()
	kongplete.Complete(parser)
	command, err := parser.Parse(args)
	if err != nil {
		var parseErr *kong.ParseError
		if errors.As(err, &parseErr) {
			_ = parseErr.Context.PrintUsage(true) // the error says what is wrong anyway
		}
		fmt.Fprintln(os.Stderr, "lpctl:", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log := telemetry.NewLogger(os.Stderr, flags.Flags)
	command.BindTo(ctx, (*context.Context)(nil))
	command.Bind(log)
	if err := command.Run(log); err != nil {
		if !errors.Is(err, errFailed) {
			fmt.Fprintln(os.Stderr, "lpctl:", err)
		}
		return exitFailed
	}
	return 0
}

func newParser() (*kong.Kong, *cli) {
	var flags cli
	parser := kong.Must(&flags, kong.Name("lpctl"), kong.UsageOnError(),
		kong.Description("Run, ask and test lupinpond, a gateway that runs calls on workers which load functions on "+
			"demand.\n\nExit status: 0 as wanted, 1 a rule was violated, a request was not completed or something failed, "+
			"2 wrong arguments."))
	return parser, &flags
}
