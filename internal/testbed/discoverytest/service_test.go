package discoverytest

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"lupinpond/internal/gateway/discovery"
)

// The list service answers what came after the event that is known; who knows none, or too old a one, gets the whole list.
func TestListServiceAnswers(t *testing.T) {
	s, err := New([]discovery.Endpoint{{Name: "a", Addr: "127.0.0.1:1", State: discovery.Up}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	ask := func(tail, wait int) discovery.Batch {
		t.Helper()
		response, err := http.Get(fmt.Sprintf("http://%s/journal?tail=%d&max_wait=%d", s.Addr, tail, wait))
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		b, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatal(err)
		}
		n, err := discovery.Parse(b)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatal(response.Status, err)
		}
		return n
	}
	if n := ask(0, 0); n.Position != 1 || len(n.Events) != 1 || !n.Events[0].Update.Complete || len(n.Events[0].Update.Endpoints) != 1 {
		t.Errorf("%+v", n)
	}
	if n := ask(1, 1); n.Position != 1 || len(n.Events) != 0 {
		t.Errorf("%+v", n)
	}
	for i := range maxChanges + 5 {
		s.Publish([]discovery.Endpoint{{Name: fmt.Sprint("b", i), Addr: "127.0.0.1:2", State: discovery.Up}})
	}
	last := int64(1 + maxChanges + 5)
	if n := ask(int(last-2), 0); n.Position != last || len(n.Events) != 2 || n.Events[0].Position != last-1 || n.Events[0].Update.Complete {
		t.Errorf("%+v", n)
	}
	if n := ask(3, 0); len(n.Events) != 1 || !n.Events[0].Update.Complete || len(n.Events[0].Update.Endpoints) != 1+maxChanges+5 {
		t.Errorf("%d events", len(n.Events))
	}
	s.Publish([]discovery.Endpoint{{Name: "a", State: discovery.Removed}})
	if n := ask(0, 0); len(n.Events[0].Update.Endpoints) != maxChanges+5 {
		t.Errorf("%d workers", len(n.Events[0].Update.Endpoints))
	}
	response, err := http.Get(fmt.Sprintf("http://%s/journal?tail=99999&max_wait=0", s.Addr))
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusBadRequest {
		t.Error(response.Status)
	}
}
