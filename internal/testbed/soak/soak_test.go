package soak

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"lupinpond/internal/testbed/mutationtest"
)

// build builds the front end, with some files replaced by those of an overlay; none: as it is.
func build(t *testing.T, overlay string) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "gateway")
	words := []string{"build", "-o", program}
	if overlay != "" {
		words = append(words, "-overlay", overlay)
	}
	if out, err := exec.CommandContext(t.Context(), "go", append(words, "lupinpond/cmd/gateway")...).CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return program
}

// A short run over a few processes breaks no rule.
func TestSoak(t *testing.T) {
	report, err := Run(context.Background(), Options{Seed: 7, Processes: 6, Workers: 6, Rate: 20, For: 5 * time.Second, Quiet: 200 * time.Millisecond,
		Program: build(t, ""), Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	if report.Sums.Served == 0 || report.Sums.Troubles == 0 {
		t.Errorf("%+v", report.Sums)
	}
	for _, v := range report.Violations {
		t.Errorf("%v %s %s %s: %s", v.After, v.Kind, v.Front, v.ID, v.Detail)
	}
}

// judged is a ledger with one request, sent so long ago.
func judged(class string, ago, wait time.Duration) (*ledger, *request) {
	l := newLedger()
	r := &request{id: "1", class: class, front: &front{name: "f"}, wait: wait, body: "b"}
	l.begin(r)
	r.sent = time.Now().Add(-ago)
	return l, r
}

// comes is the request as it comes to a worker now.
func comes(r *request, told time.Duration) attempt {
	return attempt{id: r.id, class: r.class, body: r.body, told: told, came: time.Now(), worker: "w"}
}

// The judge sees each broken rule, and none where it is kept.
func TestJudge(t *testing.T) {
	for _, c := range []struct {
		name string
		kind Kind
		play func() *ledger
	}{
		{"an answer in time", "", func() *ledger {
			l, r := judged(classCall, 100*time.Millisecond, time.Second)
			l.attempt(comes(r, 900*time.Millisecond))
			l.ran(r.id, "w")
			l.answer(r, served, answerTo(r.id), time.Now())
			l.settle()
			return l
		}},
		{"no answer", LostRequest, func() *ledger {
			l, _ := judged(classCall, 2*time.Second, time.Second)
			l.settle()
			return l
		}},
		{"a late answer", LostRequest, func() *ledger {
			l, r := judged(classCall, 2*time.Second, time.Second)
			l.answer(r, rejected, "", time.Now())
			return l
		}},
		{"a connection that ends under a request", LostRequest, func() *ledger {
			l, r := judged(classCall, 100*time.Millisecond, time.Second)
			l.broke(r, time.Now(), false)
			return l
		}},
		{"one that crosses a request", "", func() *ledger {
			l, r := judged(classCall, 10*time.Millisecond, time.Second)
			if l.broke(r, time.Now(), false) {
				t.Error("it is not sent again")
			}
			return l
		}},
		{"one that crosses a request a second time", LostRequest, func() *ledger {
			l, r := judged(classCall, 10*time.Millisecond, time.Second)
			l.broke(r, time.Now(), true)
			return l
		}},
		{"a killed front end", "", func() *ledger {
			l, r := judged(classCall, 100*time.Millisecond, time.Second)
			r.front.ledger = l
			r.front.excuse("killed")
			l.broke(r, time.Now(), false)
			return l
		}},
		{"a second answer", SecondAnswer, func() *ledger {
			l, r := judged(classCall, 100*time.Millisecond, time.Second)
			l.answer(r, rejected, "", time.Now())
			l.answer(r, rejected, "", time.Now())
			return l
		}},
		{"a forged answer", ForgedAnswer, func() *ledger {
			l, r := judged(classCall, 100*time.Millisecond, time.Second)
			l.answer(r, served, "done 2", time.Now())
			return l
		}},
		{"an attempt right after its client has left", "", func() *ledger {
			l, r := judged(classCall, 100*time.Millisecond, time.Second)
			l.leave(r, time.Now().Add(-50*time.Millisecond))
			l.attempt(comes(r, 900*time.Millisecond))
			return l
		}},
		{"an attempt long after", SentAfterLeaving, func() *ledger {
			l, r := judged(classCall, 300*time.Millisecond, time.Second)
			l.leave(r, time.Now().Add(-200*time.Millisecond))
			l.attempt(comes(r, 700*time.Millisecond))
			return l
		}},
		{"a deadline overstated", Overstated, func() *ledger {
			l, r := judged(classCall, 300*time.Millisecond, time.Second)
			l.attempt(comes(r, 900*time.Millisecond))
			return l
		}},
		{"a changed request", Changed, func() *ledger {
			l, r := judged(classCall, 0, time.Second)
			a := comes(r, time.Second)
			a.body = "c"
			l.attempt(a)
			return l
		}},
		{"a request that may run twice", "", func() *ledger {
			l, r := judged(classCall, 0, time.Second)
			l.ran(r.id, "w")
			l.ran(r.id, "v")
			return l
		}},
		{"one that must not", RanTwice, func() *ledger {
			l, r := judged(classOnce, 0, time.Second)
			l.ran(r.id, "w")
			l.ran(r.id, "v")
			return l
		}},
		{"a worker that drains", "", func() *ledger {
			l, r := judged(classCall, 0, time.Second)
			a := comes(r, time.Second)
			a.drained = a.came.Add(-drainGrace)
			l.attempt(a)
			return l
		}},
		{"a worker that has drained long ago", SentToDrained, func() *ledger {
			l, r := judged(classCall, 0, time.Second)
			a := comes(r, time.Second)
			a.drained = a.came.Add(-time.Second)
			l.attempt(a)
			return l
		}},
		{"one whose drain the list service could not tell", "", func() *ledger {
			l, r := judged(classCall, 0, time.Second)
			r.front.late = spans{{from: time.Now().Add(-2 * time.Second)}}
			a := comes(r, time.Second)
			a.drained = a.came.Add(-time.Second)
			l.attempt(a)
			return l
		}},
		{"a cold worker that is pushed over", ColdOverrun, func() *ledger {
			l := newLedger()
			w := &worker{ledger: l, born: time.Now()}
			for range 10000 {
				w.judgeCold(time.Now())
			}
			return l
		}},
	} {
		l := c.play()
		var kinds []Kind
		for _, v := range l.violations {
			kinds = append(kinds, v.Kind)
		}
		if c.kind == "" && len(kinds) > 0 || c.kind != "" && (len(kinds) == 0 || kinds[0] != c.kind) {
			t.Errorf("%s: %v, want %q", c.name, kinds, c.kind)
		}
	}
}

// A front end whose guard of departures is taken out breaks rules that the judge sees, and logs that its invariants are violated.
func TestSoakSeesAFrontEndWithoutItsGuard(t *testing.T) {
	source, err := filepath.Abs("../../gateway/departure.go")
	if err != nil {
		t.Fatal(err)
	}
	program := build(t, overlayOf(t, source, "d.statedTimeLeft = d.deadline - now", "d.statedTimeLeft = d.deadline - now + time.Second"))
	report, err := Run(context.Background(), Options{Seed: 1, Processes: 2, Workers: 3, Rate: 20, Quiet: 2 * time.Second, For: time.Millisecond,
		Program: program, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	seen := map[Kind]bool{}
	for _, v := range report.Violations {
		seen[v.Kind] = true
	}
	if !seen[Overstated] || !seen[OwnInvariant] {
		t.Errorf("%+v: %v", report.Sums, seen)
	}
}

// overlayOf writes an overlay in which a text of a file, which must stand there once, is replaced.
func overlayOf(t *testing.T, file, text, instead string) string {
	t.Helper()
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	overlay, err := mutationtest.Write(t.TempDir(), file, b, text, instead)
	if err != nil {
		t.Fatal(err)
	}
	return overlay
}
