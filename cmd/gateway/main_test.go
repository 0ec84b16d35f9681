package main

import (
	"os"
	"strings"
	"testing"
)

// programEnv, where it is set to a name and arguments, has the test's own program be the gateway.
const programEnv = "LPGATE_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if args := os.Getenv(programEnv); args != "" {
		os.Args = strings.Fields(args)
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}
