package main

import (
	"fmt"
	"log/slog"
	"os"
	"time"

	"lupinpond/internal/gateway/core"
	"lupinpond/internal/gateway/replay"
)

// replayCmd replays a recording.
type replayCmd struct {
	File    string `arg:"" help:"A recording of a core, as scenario --output writes it (*.core)." type:"existingfile"`
	Show    bool   `help:"Print every input and action."`
	Request string `aliases:"event" help:"Print only what names this request."`
}

// Run replays a recording.
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

// replayPrinter prints inputs and actions: all, or those that name a request.
type replayPrinter struct {
	all     bool
	request string // "": any
	now     time.Duration
}

// print prints an input or an action; the other one is nil.
func (p *replayPrinter) print(input *core.Input, action *replay.Action) {
	if input != nil {
		p.now = input.Now
	}
	switch {
	case !p.all && p.request == "":
	case input != nil && p.wants(input.ID, input.Request != nil && input.Request.ID == p.request):
		fmt.Printf("%v %v\n", p.now, input)
	case action != nil && p.wants(action.ID, false):
		fmt.Printf("%v   -> %v\n", p.now, action)
	}
}

// wants reports whether what names an ID is printed; matches says that it names the request in another way.
func (p *replayPrinter) wants(id string, matches bool) bool {
	return p.request == "" || id == p.request || matches
}
