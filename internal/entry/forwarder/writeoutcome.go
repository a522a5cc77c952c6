package forwarder

import "context"

// writeOutcome tells how writing a call ended, which may be reported after the response.
type writeOutcome struct {
	// last holds the error of the last attempt.
	last chan error
}

func newWriteOutcome() writeOutcome {
	return writeOutcome{last: make(chan error, 1)}
}

// record records the end of an attempt. It is called by one goroutine at a time.
func (o writeOutcome) record(err error) {
	select {
	case <-o.last:
	default:
	}
	o.last <- err
}

// succeeded waits until the outcome is known and reports whether the call was written, or false once ctx ends.
func (o writeOutcome) succeeded(ctx context.Context) bool {
	select {
	case err := <-o.last:
		return err == nil
	case <-ctx.Done():
		return false
	}
}
