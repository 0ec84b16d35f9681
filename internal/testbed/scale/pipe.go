package scale

import (
	"encoding/json"
	"errors"
	"io"
	"sync"
)

// pipe exchanges commands and replies as JSON lines.
type pipe struct {
	mu  sync.Mutex
	in  *json.Decoder
	out *json.Encoder
}

func newPipe(in io.Reader, out io.Writer) *pipe {
	return &pipe{in: json.NewDecoder(in), out: json.NewEncoder(out)}
}

// call sends a command and waits for its reply.
func (p *pipe) call(c command) (reply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.out.Encode(c); err != nil {
		return reply{}, err
	}
	var r reply
	if err := p.in.Decode(&r); err != nil {
		return reply{}, err
	}
	if r.Error != "" {
		return r, errors.New(r.Error)
	}
	return r, nil
}

// serve replies to each command with the result of handle. It returns nil when the parent closes the pipe.
func (p *pipe) serve(handle func(command) (reply, error)) error {
	for {
		var c command
		if err := p.in.Decode(&c); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		r, err := handle(c)
		if err != nil {
			r.Error = err.Error()
		}
		if err := p.out.Encode(r); err != nil {
			return err
		}
	}
}
