package durable_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	bolt "go.etcd.io/bbolt"

	"lupinpond/internal/base/durable"
)

var bucket = []byte("b")

// TestIncompleteFileIsRecreated checks that Open replaces a file whose creation was cut short, for example by a full
// disk, as nothing was ever stored in it. A file of full size that cannot be read is never replaced.
func TestIncompleteFileIsRecreated(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f.bolt")
	db, err := durable.Open(path, 1, bucket)
	if err != nil {
		t.Fatal(err)
	}
	if err := db.Close(); err != nil {
		t.Fatal(err)
	}
	complete, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, size := range []int{0, 100, os.Getpagesize(), os.Getpagesize() + 10, 3 * os.Getpagesize()} {
		truncated := filepath.Join(t.TempDir(), "truncated.bolt")
		if err := os.WriteFile(truncated, make([]byte, size), 0o600); err != nil {
			t.Fatal(err)
		}
		db, err := durable.Open(truncated, 1, bucket)
		if err != nil {
			t.Errorf("%d bytes: %v", size, err)
			continue
		}
		err = db.Update(func(tx *bolt.Tx) error { return tx.Bucket(bucket).Put([]byte("k"), []byte("v")) })
		if err := errors.Join(err, db.Close()); err != nil {
			t.Error(err)
		}
	}
	unreadable := filepath.Join(t.TempDir(), "unreadable.bolt")
	if err := os.WriteFile(unreadable, make([]byte, len(complete)), 0o600); err != nil {
		t.Fatal(err)
	}
	if db, err := durable.Open(unreadable, 1, bucket); err == nil {
		t.Error("Open succeeded on an unreadable file of full size; error of Close:", db.Close())
	}
}
