package main

import (
	"os"
	"strings"
	"testing"
)

// programEnv is an environment variable. If it is set to a program name and arguments, the test binary runs the
// gateway's main with them instead of the tests.
const programEnv = "LPGATE_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if args := os.Getenv(programEnv); args != "" {
		os.Args = strings.Fields(args)
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}
