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

// script answers each call by the next function.
type script struct {
	calls []func(ctx context.Context) error
}

func (s *script) Call(ctx context.Context, _ fescuebank.InstanceID, _ fescuebank.MessageKind, _, _ any) error {
	next := s.calls[0]
	s.calls = s.calls[1:]
	return next(ctx)
}

func answers(context.Context) error { return nil }
func refuses(context.Context) error { return fescuebank.ErrNotOwner }
func unreached(context.Context) error {
	return fescuebank.ErrPeerUnreached
}

func swallows(ctx context.Context) error {
	<-ctx.Done()
	return fescuebank.ErrPeerLost
}

func TestCall(t *testing.T) {
	const timeout = 300 * time.Millisecond
	type step struct {
		// wait goes before the call; patience is its timeout.
		wait, patience time.Duration
		reply          func(ctx context.Context) error
		leave          bool
		want           error
	}
	for _, tt := range []struct {
		name  string
		steps []step
	}{
		{"an answer keeps it closed", []step{{reply: answers}, {reply: answers}}},
		{"a refusal is an answer", []step{{reply: refuses, want: fescuebank.ErrNotOwner}, {reply: answers}}},
		{"silence opens it", []step{
			{reply: swallows, want: fescuebank.ErrPeerLost}, {want: breaker.ErrOpen}, {want: breaker.ErrOpen},
		}},
		{"no connection opens it", []step{{reply: unreached, want: fescuebank.ErrPeerUnreached}, {want: breaker.ErrOpen}}},
		{"a probe that is answered closes it", []step{
			{reply: swallows, want: fescuebank.ErrPeerLost}, {wait: timeout, reply: answers}, {reply: answers},
		}},
		{"a probe in vain keeps it open", []step{
			{reply: swallows, want: fescuebank.ErrPeerLost}, {wait: timeout, reply: swallows, want: fescuebank.ErrPeerLost}, {want: breaker.ErrOpen},
		}},
		{"a caller that leaves shows nothing", []step{{reply: swallows, leave: true, want: fescuebank.ErrPeerLost}, {reply: answers}}},
		{"a call without time shows nothing", []step{
			{patience: time.Millisecond, reply: swallows, want: fescuebank.ErrPeerLost}, {reply: answers},
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &script{}
				b := breaker.New(s, timekeeper.Timekeeper{})
				for i, step := range tt.steps {
					time.Sleep(step.wait)
					patience := step.patience
					if patience == 0 {
						patience = timeout
					}
					ctx, cancel := context.WithTimeout(t.Context(), patience)
					if step.leave {
						time.AfterFunc(timeout/2, cancel)
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

// TestCallProbesAlone has one call at a time try an instance that doesn't answer.
func TestCallProbesAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{calls: []func(context.Context) error{swallows, swallows}}
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
			t.Errorf("got %v beside the probe, want %v", err, breaker.ErrOpen)
		}
	})
}
