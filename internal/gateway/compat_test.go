package gateway_test

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"lupinpond/internal/gateway"
	"lupinpond/internal/registry"
)

// An endpoint cache written by an earlier version must be read completely and must be written again with the same
// bytes.
func TestStoredEndpointCacheIsRead(t *testing.T) {
	got, err := gateway.ReadEndpointCache("testdata/stored/list.json")
	if err != nil || got == nil {
		t.Fatalf("got %v, error %v, want a list", got, err)
	}
	at := time.Date(2026, 12, 1, 2, 3, 4, 567891234, time.UTC)
	want := registry.WatchEvent{Version: 42, Complete: true, Entries: []registry.Entry{
		{Name: "a", Addr: "127.0.0.1:7001", Zone: "z1", Cell: "c1", Kind: "big", Cores: 2.5, State: registry.InService,
			ChunkAddr: "127.0.0.1:8001", Started: at},
		{Name: "b", Addr: "127.0.0.1:7002", Cores: 1, State: registry.Draining, Started: at.Add(time.Hour)},
		{Name: "c", Addr: "127.0.0.1:7003", Zone: "z2", Cores: 1, State: registry.Removed, Started: at},
	}}
	if !reflect.DeepEqual(*got, want) {
		t.Errorf("got %+v, want %+v", *got, want)
	}
	stored, err := os.ReadFile("testdata/stored/list.json")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "list.json")
	want.Complete = false // as in the stored file
	if err := gateway.WriteEndpointCache(path, want); err != nil {
		t.Fatal(err)
	}
	if again, err := os.ReadFile(path); err != nil || !bytes.Equal(again, stored) {
		t.Errorf("written again: got %s, error %v, want %s", again, err, stored)
	}
}
