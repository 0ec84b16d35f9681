// Package replay records the operation of a core and replays recordings. A recording holds the settings of the core,
// every input that it processed and every action that it took, as a sequence of CBOR items (RFC 8742). Replaying a
// recording with the same version of the program produces the same actions. Recordings of earlier versions must stay
// readable, so field numbers and the names in the tags of the scheduler's types must not change.
package replay
