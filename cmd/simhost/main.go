// Command simhost runs the decision module on the simulator's wire, on standard input and output.
package main

import (
	"flag"
	"fmt"
	"os"

	"lupinpond/internal/simhost"
)

func main() {
	flag.Usage = func() {
		fmt.Fprintln(flag.CommandLine.Output(), "usage: simhost < batches > replies")
		flag.PrintDefaults()
	}
	flag.Parse()
	if flag.NArg() > 0 {
		flag.Usage()
		os.Exit(2)
	}
	if err := simhost.New(os.Stdin, os.Stdout).Run(); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
