// Command lpctl is the operators' command line.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/willabides/kongplete"

	"lupinpond/internal/base/httpclient"
	"lupinpond/internal/base/telemetry"
	"lupinpond/internal/gateway/fleetconfig"
	"lupinpond/internal/worker"
)

// cli is the command line. Results go to standard output, logs to standard error.
type cli struct {
	telemetry.Flags

	Up       upCmd            `cmd:"" help:"Start front ends, the list and imitation workers in one process."`
	Invoke   invokeCmd        `cmd:"" help:"Send one event to a front end."`
	Check    checkCmd         `cmd:"" help:"Check a file of settings."`
	Workers  workersCmd       `cmd:"" help:"Show the list of workers, or drain one."`
	Publish  publishCmd       `cmd:"" help:"Publish a package to the store, and say what it makes workers fetch."`
	Package  packageCmd       `cmd:"" help:"Look at the packages of the store."`
	Trouble  injectFaultCmd   `cmd:"" help:"Have a worker misbehave for a time, over its control interface."`
	Rehearse scenarioCmd      `cmd:"" help:"Play rehearsed days of trouble on loopback and judge the five rules."`
	Rules    checkCapturesCmd `cmd:"" help:"Judge the five rules from a folder of captures."`
	Replay   replayCmd        `cmd:"" help:"Replay a recording of a core and compare what it does."`
	Slopes   costModelCmd     `cmd:"" help:"Measure what the decision core costs as the fleet grows, and fit curves."`
	Scale    scaleCmd         `cmd:"" help:"Run real and hollow front ends, emulated workers and a list service at a fleet's size on loopback."`
	Soak     soakCmd          `cmd:"" help:"Play real front ends on loopback through overlapping troubles, and judge the rules from the sockets."`

	ScaleChild scaleChildCmd `cmd:"" hidden:"" help:"A process of a scale run."`

	Completion kongplete.InstallCompletions `cmd:"" help:"Print how to install shell completion."`
}

// failed is an end with status 1 that has been told already.
var errFailed = errors.New("failed")

func main() {
	var c cli
	parser := kong.Must(&c, kong.Name("lpctl"), kong.UsageOnError(),
		kong.Description("Run, ask and rehearse lupinpond, a gateway that runs calls on workers which load functions on demand.\n\n"+
			"Exit status: 0 as wished, 1 a rule was broken, an event was not handled or something failed, 2 wrong arguments."))
	kongplete.Complete(parser)
	k, err := parser.Parse(os.Args[1:])
	if err != nil {
		var p *kong.ParseError
		if errors.As(err, &p) {
			_ = p.Context.PrintUsage(true)
		}
		fmt.Fprintln(os.Stderr, "lpctl:", err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log := telemetry.NewLogger(os.Stderr, c.Flags)
	k.BindTo(ctx, (*context.Context)(nil))
	k.Bind(log)
	if err := k.Run(log); err != nil {
		if !errors.Is(err, errFailed) {
			fmt.Fprintln(os.Stderr, "lpctl:", err)
		}
		stop()
		os.Exit(1)
	}
}

// loadConfig reads a file, or the defaults where none is named.
func loadConfig(path string) (fleetconfig.File, error) {
	if path == "" {
		return fleetconfig.Default()
	}
	return fleetconfig.Read(path)
}

// newTable is a table on standard output; Render prints it.
func newTable(header ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(os.Stdout)
	t.SetStyle(table.StyleLight)
	t.AppendHeader(header)
	return t
}

type injectFaultCmd struct {
	What    string        `arg:"" help:"hang, silence, slow, refuse, errors, fail-loads or false-reports."`
	Control string        `required:"" help:"The worker's control address, such as http://127.0.0.1:8720."`
	For     time.Duration `required:"" help:"Then it is undone."`
	At      time.Duration `help:"From now."`
	Tenant  string        `help:"Of refuse."`
	Factor  float64       `help:"Of slow and false-reports."`
}

// Run sends the order.
func (c *injectFaultCmd) Run(ctx context.Context, _ *slog.Logger) error {
	body, err := json.Marshal(worker.FaultRequest{Fault: c.What, Tenant: c.Tenant, Factor: c.Factor, Delay: c.At.String(), Duration: c.For.String()})
	if err != nil {
		return err
	}
	if _, err := httpclient.Do(ctx, http.DefaultClient, http.MethodPost, c.Control+"/v1/trouble", body, 4096); err != nil {
		return fmt.Errorf("worker: %w", err)
	}
	return nil
}

type checkCmd struct {
	File string `arg:"" optional:"" help:"The file; without it the built-in defaults are printed." type:"path"`
}

// Run checks a file.
func (c *checkCmd) Run(_ *slog.Logger) error {
	if c.File == "" {
		_, err := os.Stdout.Write(fleetconfig.DefaultText())
		return err
	}
	f, err := fleetconfig.Read(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d event types, %d tenants, %d functions\n", c.File, len(f.Fleet.Types), len(f.Fleet.Tenants), len(f.Functions))
	return nil
}
