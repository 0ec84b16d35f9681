// Command lpctl is the operators' command line tool: it sends requests, inspects and changes workers and packages, and
// runs tests and measurements.
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

// cli is the command line: each field is a subcommand. Results go to standard output, logs to standard error.
type cli struct {
	telemetry.Flags

	Up          upCmd          `cmd:"" help:"Run gateways, the registry and emulated workers in one process."`
	Invoke      invokeCmd      `cmd:"" help:"Send one request to a gateway."`
	Check       checkCmd       `cmd:"" help:"Validate a settings file, or print the built-in defaults."`
	Workers     workersCmd     `cmd:"" help:"List the registered workers; optionally drain or remove one first."`
	Publish     publishCmd     `cmd:"" help:"Publish a package and print how much of it a worker fetches."`
	Package     packageCmd     `cmd:"" help:"List, show and compare packages of the artifact store."`
	InjectFault injectFaultCmd `cmd:"" help:"Make a worker misbehave for a limited time, over its control interface."`
	Scenario    scenarioCmd    `cmd:"" help:"Run fault scenarios on loopback and check the rules of docs/design.md."`
	CheckRules  checkRulesCmd  `cmd:"" help:"Check the five rules of docs/design.md on a folder of captures."`
	Replay      replayCmd      `cmd:"" help:"Replay a core's recorded inputs and check that its actions are unchanged."`
	CostModel   costModelCmd   `cmd:"" help:"Measure the cost of the decision core at several sizes, and fit curves."`
	Scale       scaleCmd       `cmd:"" help:"${scale_help}"`
	Soak        soakCmd        `cmd:"" help:"${soak_help}"`
	Flood       floodCmd       `cmd:"" help:"${flood_help}"`

	ScaleChild scaleChildCmd `cmd:"" hidden:"" help:"Run one process of a scale run (started by scale itself)."`

	// Former names of commands, kept for existing scripts.
	FormerInjectFault injectFaultCmd `cmd:"" name:"trouble" hidden:"" help:"Former name of inject-fault."`
	FormerScenario    scenarioCmd    `cmd:"" name:"rehearse" hidden:"" help:"Former name of scenario."`
	FormerCheckRules  checkRulesCmd  `cmd:"" name:"rules" hidden:"" help:"Former name of check-rules."`
	FormerCostModel   costModelCmd   `cmd:"" name:"slopes" hidden:"" help:"Former name of cost-model."`

	Completion kongplete.InstallCompletions `cmd:"" help:"Print how to install shell completion."`
}

// helpTexts are the help texts that are too long for a struct tag.
var helpTexts = kong.Vars{
	"scale_help": "Run a fleet on loopback: real gateways, hollow gateways (which generate their requests themselves), " +
		"emulated workers and a discovery service.",
	"soak_help": "Run real gateways on loopback through overlapping faults, and check the rules on the sockets' traffic.",
	"flood_help": "Flood one gateway on loopback, with a part of a core and a memory limit, and measure what usual clients " +
		"are served meanwhile.",
	"flood_kinds": "cancelled,unknown_names,repeated_id,health_checks,new_functions,unread_answers,slow_writers,half_requests," +
		"many_fields,closed_with_data,mixed",
	"up_gateways_help": "Number of gateways; the first listens at front.listen of the settings, the others on the " +
		"ports after it.",
	"by_help": "With fleet, workers, gateways, functions and rate grow together, from today's fleet (size 0) to the " +
		"target (size 100).",
	"skew_help": "Exponent of the Zipf distribution of calls over functions; with 1.65 or more, most of 21,000 " +
		"functions are called less than once a minute at 60,000 calls per second.",
	"sweep_help":  "Run the plan once for each of --sizes and fit curves: none, workers, gateways or rate.",
	"output_help": "Folder for captures, watch events and core recordings, with a subfolder for each scenario.",
	"jobs_help": "Scenarios that run in parallel; 0: 3, or 1 with --workers runtime, whose replicas share the cores of " +
		"this machine.",
	"no_peers_help": "With --workers runtime: workers fetch all chunks from the artifact store and none from each other.",
	"payroll_help":  "With --workers runtime: the built example package (go build -o bin/ ./examples/payroll).",
	"soak_dir_help": "Folder for the gateways' configurations and logs; by default a temporary one, which is kept if a " +
		"rule was violated.",
	"syscall_errors_help":  "Run a third of the gateways under strace, which makes some of their system calls fail.",
	"gateway_program_help": "Gateway program, built with the build command of deploy/balancer.toml.",
}

// Exit statuses of failures.
const (
	exitFailed = 1
	exitUsage  = 2
)

// errFailed makes the program exit with exitFailed without a message: the command has already printed the reason.
var errFailed = errors.New("failed")

func main() { os.Exit(run(os.Args[1:])) }

// run runs a command line and returns the exit status.
func run(args []string) (status int) {
	parser, flags := newParser()
	kongplete.Complete(parser)
	command, err := parser.Parse(args)
	if err != nil {
		var parseErr *kong.ParseError
		if errors.As(err, &parseErr) {
			_ = parseErr.Context.PrintUsage(true) // if this fails, the error below is still printed
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
	parser := kong.Must(&flags, kong.Name("lpctl"), kong.UsageOnError(), helpTexts,
		kong.Description("Run, query and test lupinpond, a gateway that runs requests on workers which load functions on "+
			"demand.\n\nExit status: 0 success, 1 a rule was violated, a request was not completed or the command failed, "+
			"2 invalid arguments."))
	return parser, &flags
}
