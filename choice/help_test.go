package choice_test

import (
	"fmt"
	"time"

	"lupinpond/choice"
)

const ms = time.Millisecond

// bench is a Chooser with a clock that prints each of its decisions.
type bench struct {
	*choice.Chooser
	now time.Duration
}

// newBench starts front end 0 of peers with workers a, b and c, and three event types.
func newBench(peers int) *bench {
	b := &bench{Chooser: choice.New(7, 0, peers, 2*ms), now: time.Hour}
	for i, name := range []string{"redeliverable", "keyed", "at-most-once"} {
		b.AddType(choice.EventType{Name: name, Effect: choice.Effect(i), Group: choice.GroupCell,
			Window: 2000 * ms, Target: 1000 * ms})
	}
	b.Allowed(4, true, false, 500*ms)
	b.Loading(true, true, 10000*ms, 5000*ms, 0, 0, 0)
	b.ColdStarts(0.2, 10000*ms, 2, 1000*ms)
	b.Listed(b.now, true, []choice.Listing{
		{Worker: "a", Cell: "1"}, {Worker: "b", Cell: "1"}, {Worker: "c", Cell: "2"}})
	return b
}

// place takes a new event and prints the answer.
func (b *bench) place(id, kind string, fn uint64) *choice.Event {
	e := &choice.Event{ID: id, Type: kind, Function: fn, Patience: 3000 * ms, Lanes: 1, LoadTime: 400 * ms}
	b.show(b.Place(b.now, e))
	return e
}

// quiet takes a new event and prints nothing.
func (b *bench) quiet(fn uint64) *choice.Event {
	e := &choice.Event{Type: "redeliverable", Function: fn, Patience: 3000 * ms, Lanes: 1, LoadTime: 400 * ms}
	b.Place(b.now, e)
	return e
}

// after ends the outstanding launch of an event and prints the answer.
func (b *bench) after(e *choice.Event, r choice.Result, took time.Duration) {
	b.show(b.After(b.now, e, choice.Outcome{Result: r, Took: took, Final: r == choice.Handled}))
}

// step lets time pass and prints what is due then.
func (b *bench) step(d time.Duration) choice.Steps {
	b.now += d
	st := b.Wait(b.now)
	for _, a := range st.Answers {
		b.show(a)
	}
	for _, o := range st.Orders {
		fmt.Printf("%v load %d x%d on %s\n", b.now-time.Hour, o.Function, o.Copies, o.Worker)
	}
	return st
}

func (b *bench) show(a choice.Answer) {
	words := map[choice.Verb]string{choice.Hold: "hold", choice.Launch: "launch on", choice.Defer: "defer",
		choice.DeadLetter: "dead-letter", choice.Withdraw: "withdraw", choice.Nothing: "nothing"}
	line := fmt.Sprintf("%v %s %s", b.now-time.Hour, a.Event.ID, words[a.Verb])
	if a.Verb == choice.Launch {
		line += " " + a.Worker
	}
	fmt.Println(line)
}

// loaded answers every order of st: the copies stand.
func (b *bench) loaded(st choice.Steps) {
	for _, o := range st.Orders {
		b.Loaded(b.now, o, choice.Handled, 400*ms)
	}
}

// handled ends launches among answers well, after so long.
func (b *bench) handled(answers []choice.Answer, took time.Duration) {
	for _, a := range answers {
		if a.Event.Outstanding() {
			b.After(b.now, a.Event, choice.Outcome{Result: choice.Handled, Took: took, Final: true})
		}
	}
}

// serve does what is due for a new event: loads are answered, and what they let go is handled after so long. It gives
// the orders.
func (b *bench) serve(e *choice.Event, took time.Duration) []choice.Order {
	b.Place(b.now, e)
	st := b.Wait(b.now)
	b.loaded(st)
	b.handled(b.Wait(b.now).Answers, took)
	return st.Orders
}

// fleet starts front end self of peers over so many workers; it prints nothing by itself.
func fleet(self, peers, workers int) *bench {
	b := &bench{Chooser: choice.New(uint64(self), self, peers, 2*ms), now: time.Hour}
	b.AddType(choice.EventType{Name: "redeliverable", Target: 1000 * ms})
	b.Allowed(4, true, false, 500*ms)
	b.Loading(true, true, 10000*ms, 5000*ms, 0, 0, 0)
	b.ColdStarts(0.2, 10000*ms, 2, 1000*ms)
	var news []choice.Listing
	for i := range workers {
		news = append(news, choice.Listing{Worker: fmt.Sprint("w", i)})
	}
	b.Listed(b.now, true, news)
	return b
}

// homes counts the workers with first copies of function 9 after 50 events at each of 40 front ends of 20 workers.
func homes(memory float64, function func(i int) uint64) int {
	found := map[string]bool{}
	for self := range 40 {
		b := fleet(self, 40, 20)
		b.AddKind("", memory)
		for i := range 50 {
			e := &choice.Event{Type: "redeliverable", Function: function(i), Patience: 3000 * ms, Lanes: 4, Memory: 1}
			for _, o := range b.serve(e, 100*ms) {
				if o.Function == 9 {
					found[o.Worker] = true
				}
			}
			b.now += 200 * ms
		}
	}
	return len(found)
}
