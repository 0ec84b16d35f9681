// Package replay records a core, and replays recordings: what the core was started with, every input that it took and
// every action that followed, as a sequence of CBOR items (RFC 8742). A recording replayed on the same version gives
// the same actions. Recordings of earlier versions stay readable: field numbers, and the names in the tags of the
// scheduler's types, do not change.
package replay
