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

// A file that a full disk cut short while it was made holds nothing: it is made anew. One that was made in full never is.
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
		t.Error("a file of full size that can't be read is opened", db.Close())
	}
}
