package breaker_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"fescuebank"
	"fescuebank/internal/timing/timekeeper"
	"fescuebank/internal/wire/breaker"
)

// scriptedCaller runs the next of its functions for each call.
type scriptedCaller struct {
	calls []func(ctx context.Context) error
}

func (s *scriptedCaller) Call(ctx context.Context, _ fescuebank.InstanceID, _ fescuebank.MessageKind, _, _ any) error {
	next := s.calls[0]
	s.calls = s.calls[1:]
	return next(ctx)
}

func succeed(context.Context) error { return nil }
func refuse(context.Context) error  { return fescuebank.ErrNotOwner }
func failToConnect(context.Context) error {
	return fescuebank.ErrPeerUnreachable
}

func timeOut(ctx context.Context) error {
	<-ctx.Done()
	return fescuebank.ErrPeerLost
}

func TestCall(t *testing.T) {
	const defaultTimeout = 300 * time.Millisecond
	type step struct {
		// wait is the time before the call, and timeout its timeout, or 0 for
		// defaultTimeout.
		wait, timeout time.Duration
		reply         func(ctx context.Context) error
		// canceled makes the caller cancel the call.
		canceled bool
		want     error
	}
	for _, tt := range []struct {
		name  string
		steps []step
	}{
		{"a reply keeps it closed", []step{{reply: succeed}, {reply: succeed}}},
		{"a refusal is a reply", []step{{reply: refuse, want: fescuebank.ErrNotOwner}, {reply: succeed}}},
		{"a time-out opens it", []step{
			{reply: timeOut, want: fescuebank.ErrPeerLost}, {want: breaker.ErrOpen}, {want: breaker.ErrOpen},
		}},
		{"a failed connection opens it", []step{{reply: failToConnect, want: fescuebank.ErrPeerUnreachable}, {want: breaker.ErrOpen}}},
		{"a successful probe closes it", []step{
			{reply: timeOut, want: fescuebank.ErrPeerLost}, {wait: defaultTimeout, reply: succeed}, {reply: succeed},
		}},
		{"a failed probe keeps it open", []step{
			{reply: timeOut, want: fescuebank.ErrPeerLost}, {wait: defaultTimeout, reply: timeOut, want: fescuebank.ErrPeerLost}, {want: breaker.ErrOpen},
		}},
		{"a call canceled by its caller does not count", []step{{reply: timeOut, canceled: true, want: fescuebank.ErrPeerLost}, {reply: succeed}}},
		{"a call with a very short timeout does not count", []step{
			{timeout: time.Millisecond, reply: timeOut, want: fescuebank.ErrPeerLost}, {reply: succeed},
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedCaller{}
				b := breaker.New(s, timekeeper.Timekeeper{})
				for i, step := range tt.steps {
					time.Sleep(step.wait)
					timeout := step.timeout
					if timeout == 0 {
						timeout = defaultTimeout
					}
					ctx, cancel := context.WithTimeout(t.Context(), timeout)
					if step.canceled {
						time.AfterFunc(defaultTimeout/2, cancel)
					}
					if step.reply != nil {
						s.calls = append(s.calls, step.reply)
					}
					err := b.Call(ctx, "a", fescuebank.KindAcquire, nil, nil)
					cancel()
					if !errors.Is(err, step.want) {
						t.Errorf("step %d: got %v, want %v", i, err, step.want)
					}
				}
			})
		})
	}
}

// TestOneProbeAtATime checks that calls made during a probe fail at once.
func TestOneProbeAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedCaller{calls: []func(context.Context) error{timeOut, timeOut}}
		b := breaker.New(s, timekeeper.Timekeeper{})
		call := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			return b.Call(ctx, "a", fescuebank.KindAcquire, nil, nil)
		}
		if err := call(); !errors.Is(err, fescuebank.ErrPeerLost) {
			t.Fatalf("got %v, want %v", err, fescuebank.ErrPeerLost)
		}
		time.Sleep(100 * time.Millisecond)
		go func() { _ = call() }()
		synctest.Wait()
		if err := call(); !errors.Is(err, breaker.ErrOpen) {
			t.Errorf("got %v during the probe, want %v", err, breaker.ErrOpen)
		}
	})
}
