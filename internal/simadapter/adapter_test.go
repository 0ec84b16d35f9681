package simadapter_test

import (
	"fmt"
	"os"
	"strings"

	"lupinpond/internal/simadapter"
)

const spawn = "SPAWN end-0 7 family_info.orders=true family_info.miss_mode=load family_info.keep=8.0 " +
	"family_info.order_limit=10.0 policy_limits.send_cap=6 quantum=0.002 request_classes.count=1 " +
	"request_classes.0.name=check request_classes.0.effect=pure request_classes.0.aim=1.0 " +
	"request_classes.0.give_up=3.0 some.new.key=1\n" +
	"MEMBERSHIP end-0 1 stale_copy 1\nENTRY worker.a z std 0 IN 1 -\n"

// Example_batches shows a request that waits while its function is loaded, is sent and completes. A LAPSED message for
// the closed request is ignored.
func Example_batches() {
	in := "BATCH 1 1\nYOUR_TURN\n\nBATCH 1.5 2\n" + spawn +
		"INCOMING end-0 e1 check - 77 2.5 - 300 2 400 0\nYOUR_TURN\n" +
		"BATCH 2 3\nLOAD_RESULT end-0 worker.a 77 OK 0.5 1\nELAPSED end-0 1\nYOUR_TURN\n" +
		"BATCH 2.1 4\nSETTLED end-0 e1 0.1 1 worker.a 1 0 OK busy_reqs:7,x0:0.4\nYOUR_TURN\n" +
		"BATCH 2.2 5\nLAPSED end-0 e1\nEXIT end-0\n" + spawn + "YOUR_TURN\n"
	fmt.Println(simadapter.New(strings.NewReader(in), os.Stdout).Run())
	// Output:
	// OK 1
	// BRING_UP end-0 worker.a 77 1
	// SLEEP end-0 1 0.2
	// OK 2
	// SEND end-0 e1 worker.a
	// SLEEP end-0 1 0.125
	// OK 3
	// OK 4
	// OK 5
	// <nil>
}

// Example_malformed shows that malformed input ends the run with an error that names the line.
func Example_malformed() {
	for _, in := range []string{
		"HELLO\n",
		"BATCH 1 1\nELAPSED end-0 1\nYOUR_TURN\n",
		"BATCH 1 1\n" + spawn + "INCOMING end-0 e1 check\nYOUR_TURN\n",
		"BATCH 1 1\n" + spawn + "SETTLED end-0 e1 0.1 1 worker.a 1 0 FINE -\nYOUR_TURN\n",
		"BATCH 1 1\n" + spawn + "SING end-0\nYOUR_TURN\n",
		"BATCH 1 1\n" + spawn,
	} {
		fmt.Println(simadapter.New(strings.NewReader(in), os.Stdout).Run())
	}
	// Output:
	// line 1: expected BATCH with clock and number
	// line 2: expected a running instance, got "end-0"
	// line 5: expected tenant
	// line 5: expected an outcome code, got "FINE"
	// line 5: expected a known event, got "SING"
	// line 5: input ended, expected an event or YOUR_TURN
}
