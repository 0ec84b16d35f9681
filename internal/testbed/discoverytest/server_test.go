package discoverytest

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"lupinpond/internal/gateway/discovery"
)

// A poll must be answered with the events after the client's last one. A client without an event, or one that missed
// more than maxChanges, must get the complete list.
func TestPollAnswers(t *testing.T) {
	s, err := New([]discovery.Endpoint{{Name: "a", Addr: "127.0.0.1:1", State: discovery.Up}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	poll := func(tail, wait int) discovery.Batch {
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
		batch, err := discovery.Parse(b)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatal(response.Status, err)
		}
		return batch
	}
	batch := poll(0, 0)
	if batch.Position != 1 || len(batch.Events) != 1 || !batch.Events[0].Update.Complete ||
		len(batch.Events[0].Update.Endpoints) != 1 {
		t.Errorf("%+v", batch)
	}
	if batch := poll(1, 1); batch.Position != 1 || len(batch.Events) != 0 {
		t.Errorf("%+v", batch)
	}
	for i := range maxChanges + 5 {
		s.Publish([]discovery.Endpoint{{Name: fmt.Sprint("b", i), Addr: "127.0.0.1:2", State: discovery.Up}})
	}
	last := int64(1 + maxChanges + 5)
	batch = poll(int(last-2), 0)
	if batch.Position != last || len(batch.Events) != 2 || batch.Events[0].Position != last-1 ||
		batch.Events[0].Update.Complete {
		t.Errorf("%+v", batch)
	}
	batch = poll(3, 0)
	if len(batch.Events) != 1 || !batch.Events[0].Update.Complete ||
		len(batch.Events[0].Update.Endpoints) != 1+maxChanges+5 {
		t.Errorf("%d events", len(batch.Events))
	}
	s.Publish([]discovery.Endpoint{{Name: "a", State: discovery.Removed}})
	if batch := poll(0, 0); len(batch.Events[0].Update.Endpoints) != maxChanges+5 {
		t.Errorf("%d workers", len(batch.Events[0].Update.Endpoints))
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
