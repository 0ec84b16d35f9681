// Command standin plays the cases of the review: it starts the project's programs, plays clients, workers and the
// platform, and checks one rule on what they can see.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(*harness) []string{
	"keyed-twice":     playKeyedTwice,
	"drain-pause":     playDrainPause,
	"drain-told":      playDrainTold,
	"long-answer":     playLongAnswer,
	"late-connection": playLateConnection,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE FOLDER")
		os.Exit(couldNotRun)
	}
	os.Exit(newHarness(os.Args[2]).run(cases[os.Args[1]]))
}
