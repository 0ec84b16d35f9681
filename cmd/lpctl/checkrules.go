package main

import (
	"fmt"
	"log/slog"

	"lupinpond/internal/testbed/checker"
)

// ruleCount is the number of rules in docs/design.md that the checker checks.
const ruleCount = 5

// checkRulesCmd checks the rules on captures of earlier runs.
type checkRulesCmd struct {
	Folder string `arg:"" help:"Folder with settings.yaml, news.json and captures (scenario --output)." type:"existingdir"`
	JSON   bool   `help:"Print the verdict as JSON."`
}

// Run checks the captures of a folder. A violation makes the program exit with exitFailed.
func (c *checkRulesCmd) Run(_ *slog.Logger) error {
	input, err := checker.Load(c.Folder)
	if err != nil {
		return err
	}
	verdict, err := checker.Check(input)
	if err != nil {
		return err
	}
	if c.JSON {
		if err := printJSON(verdict); err != nil {
			return err
		}
	} else {
		printVerdict(verdict)
	}
	if !verdict.Passed() {
		return errFailed
	}
	return nil
}

func printVerdict(verdict checker.Verdict) {
	fmt.Printf("%d requests accepted: %d completed, %d rejected, %d failed, %d clients disconnected, "+
		"%d lost with a gateway; %d attempts, %d load requests\n", verdict.Requests, verdict.Completed, verdict.Rejected,
		verdict.Failed, verdict.Disconnected, verdict.Lost, verdict.Attempts, verdict.LoadRequests)
	violations := map[int]int{}
	for _, violation := range verdict.Violations {
		violations[violation.Rule]++
	}
	for rule := 1; rule <= ruleCount; rule++ {
		fmt.Printf("rule %d: %d checked, %d violations\n", rule, verdict.Checked[rule], violations[rule])
	}
	for _, violation := range verdict.Violations {
		fmt.Println(violation)
	}
}
