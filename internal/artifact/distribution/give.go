package distribution

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"lupinpond/internal/artifact/fetch"
	"lupinpond/internal/artifact/layer"
)

// Headers of a request for a chunk.
const (
	headerAsker = "Lupin-Worker" // who asks
	headerHeld  = "Lupin-Held"   // 1: only if it is held
	headerWait  = "Lupin-Wait"   // how long to wait for one that is fetched
)

const (
	mostWait    = 30 * time.Second
	mostHolders = 16
	mostWord    = 64 << 10
	soon        = 20 * time.Millisecond // to come back for one that is still being fetched
)

// word is what a worker answers in place of a chunk.
type word struct {
	Said    string   `json:"said"` // missing, coming, busy
	Holders []string `json:"holders,omitempty"`
	After   int64    `json:"after-ms,omitempty"`
}

func (w word) after() time.Duration { return time.Duration(w.After) * time.Millisecond }

var said = map[string]fetch.Said{"missing": fetch.Missing, "coming": fetch.Coming, "busy": fetch.Busy}

func readWord(b []byte) (w word, s fetch.Said, err error) {
	if len(b) > mostWord {
		return w, s, fmt.Errorf("answer of %d bytes", len(b))
	}
	if err := json.Unmarshal(b, &w); err != nil {
		return w, s, fmt.Errorf("answer: %w", err)
	}
	s, known := said[w.Said]
	switch {
	case !known:
		return w, s, fmt.Errorf("answer: said %.40q", w.Said)
	case len(w.Holders) > mostHolders:
		return w, s, fmt.Errorf("answer: %d holders", len(w.Holders))
	case w.After < 0 || w.After > mostWait.Milliseconds():
		return w, s, fmt.Errorf("answer: after %d ms", w.After)
	}
	return w, s, nil
}

// Handler gives chunks to other workers: GET /v1/chunks/DIGEST.
func (s *Supplier) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/chunks/{digest}", s.give)
	return mux
}

func (s *Supplier) give(w http.ResponseWriter, r *http.Request) {
	d, err := layer.Parse(r.PathValue("digest"))
	wait := time.Duration(0)
	if err == nil && r.Header.Get(headerWait) != "" {
		if wait, err = time.ParseDuration(r.Header.Get(headerWait)); err == nil && (wait < 0 || wait > mostWait) {
			err = errors.New("a wait between 0 and 30s is needed")
		}
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	asker := r.Header.Get(headerAsker)
	_, packed, holds := s.o.Cache.Get(d)
	held := r.Header.Get(headerHeld) == "1"
	switch fetch.Reply(holds, !holds && !held && s.home(d), held) {
	case fetch.Missing:
		s.say(w, "missing", d, asker, 0)
		return
	case fetch.Coming:
		f := s.begin(d)
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-f.done:
			if f.err != nil {
				s.say(w, "missing", d, asker, 0)
				return
			}
			packed = f.packed
		case <-timer.C:
			s.say(w, "coming", d, asker, soon)
			return
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	follow := s.busy
	s.mu.Unlock()
	busy := follow() // the worker has a lock of its own
	s.mu.Lock()
	ok, after := s.uploads.Ask(s.now(), len(packed), busy)
	if !ok {
		s.counts.Busy++
	} else {
		s.counts.Given++
	}
	s.mu.Unlock()
	if !ok {
		s.say(w, "busy", d, asker, after)
		return
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.uploads.Ended()
		s.holders.Gave(d.String(), asker)
	}()
	w.Header().Set("Content-Type", "application/zstd")
	w.Header().Set("ETag", `"`+d.String()+`"`)
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(packed))
}

// home tells whether this worker is among the homes of a chunk by its own list.
func (s *Supplier) home(d layer.Digest) bool {
	order, _ := s.order(d)
	return slices.Index(order, s.o.Name) < fetch.Homes
}

func (s *Supplier) say(w http.ResponseWriter, what string, d layer.Digest, asker string, after time.Duration) {
	s.mu.Lock()
	holders := s.holders.Of(d.String(), asker)
	s.mu.Unlock()
	status := http.StatusServiceUnavailable
	if what == "missing" {
		status = http.StatusNotFound
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(word{what, holders, after.Milliseconds()}) // the asker is gone
}
