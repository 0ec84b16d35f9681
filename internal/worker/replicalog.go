package worker

import (
	"errors"
	"io"
	"os"
)

// rotateReplicaLog rotates the replica log to NAME.1 if it is larger than MaxReplicaLogBytes. Replicas have the file
// open and write to it directly, so it is copied and truncated instead of renamed. A line that is written between the
// copy and the truncation is lost.
func (w *Worker) rotateReplicaLog() error {
	if w.options.ReplicaLog == nil || w.options.MaxReplicaLogBytes <= 0 {
		return nil
	}
	if info, err := w.options.ReplicaLog.Stat(); err != nil || info.Size() <= w.options.MaxReplicaLogBytes {
		return err
	}
	name := w.options.ReplicaLog.Name()
	current, err := os.Open(name)
	if err != nil {
		return err
	}
	defer current.Close()
	rotated, err := os.Create(name + ".1")
	if err != nil {
		return err
	}
	_, err = io.Copy(rotated, current)
	if err = errors.Join(err, rotated.Close()); err != nil {
		return err
	}
	return os.Truncate(name, 0)
}
