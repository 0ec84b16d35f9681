// Command sim-adapter runs the decision module on the simulator's wire, on standard input and output.
package main

import (
	"flag"
	"fmt"
	"os"

	"lupinpond/internal/simadapter"
)

func main() {
	flag.Usage = func() {
		fmt.Fprintln(flag.CommandLine.Output(), "usage: sim-adapter < batches > replies")
		flag.PrintDefaults()
	}
	flag.Parse()
	if flag.NArg() > 0 {
		flag.Usage()
		os.Exit(2)
	}
	if err := simadapter.New(os.Stdin, os.Stdout).Run(); err != nil {
		fmt.Fprintln(os.Stderr, "sim-adapter:", err)
		os.Exit(1)
	}
}
