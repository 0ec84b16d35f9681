// Command sim-adapter runs gateway cores on the simulator's protocol: it reads batches of inputs from standard input
// and writes the cores' replies to standard output.
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
