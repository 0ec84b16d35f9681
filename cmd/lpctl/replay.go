package main

import (
	"fmt"
	"log/slog"
	"os"
	"time"

	"lupinpond/internal/gateway/core"
	"lupinpond/internal/gateway/replay"
)

// replayCmd replays a recording of a gateway's core.
type replayCmd struct {
	File    string `arg:"" help:"Recording of a core (*.core), as written by scenario --output." type:"existingfile"`
	Show    bool   `help:"Print all inputs and actions."`
	Request string `aliases:"event" help:"Print only the inputs and actions of this request."`
}

// Run replays the recording. An action that differs from the recorded one is an error.
func (c *replayCmd) Run(_ *slog.Logger) error {
	recording, err := os.Open(c.File)
	if err != nil {
		return err
	}
	defer recording.Close()
	printer := replayPrinter{all: c.Show, request: c.Request}
	summary, err := replay.Replay(recording, printer.print)
	if err != nil {
		return err
	}
	truncated := ""
	if summary.Truncated {
		truncated = "; the recording ends in the middle of an item"
	}
	fmt.Printf("gateway %d of %d: %d inputs, %d actions, all as recorded%s\n", summary.Settings.Index,
		summary.Settings.Gateways, summary.Inputs, summary.Actions, truncated)
	return nil
}

// replayPrinter prints the inputs and actions of a replay: all of them, or those of one request.
type replayPrinter struct {
	all     bool
	request string        // ID of the request to print; empty: all requests
	now     time.Duration // time of the latest input
}

// print prints an input or an action if it is selected; exactly one of them isn't nil.
func (p *replayPrinter) print(input *core.Input, action *replay.Action) {
	if input != nil {
		p.now = input.Now
	}
	switch {
	case !p.all && p.request == "":
	case input != nil && p.selects(input.ID, input.Request != nil && input.Request.ID == p.request):
		fmt.Printf("%v %v\n", p.now, input)
	case action != nil && p.selects(action.ID, false):
		fmt.Printf("%v   -> %v\n", p.now, action)
	}
}

// selects reports whether an input or action with an ID is printed. namesRequest is set if it refers to the request
// in another way than by that ID.
func (p *replayPrinter) selects(id string, namesRequest bool) bool {
	return p.request == "" || id == p.request || namesRequest
}
