package supervisor

import (
	"context"

	"fescuebank"
)

// subscribe subscribes the components to store objects, changes and messages from
// peers.
func (v *Supervisor) subscribe() {
	v.watcher.Subscribe(fescuebank.AssignmentKey(v.settings.Instance.Region), v.registrar.ApplyObject)
	v.watcher.Subscribe(fescuebank.ManifestKey, v.applier.ApplyObject)
	v.watcher.Subscribe(fescuebank.WithdrawalPrefix, v.withdrawer.ApplyObject)
	v.watcher.Subscribe(fescuebank.CrashRecordPrefix, v.quarantiner.ApplyObject)
	v.jobWatcher.Subscribe(fescuebank.ActivePrefix, v.coordinator.ApplyObject)
	v.registrar.OnChange(v.admitter.UpdateOwnership)
	v.applier.OnChange(func(s *fescuebank.Snapshot) {
		v.connector.SetEndpoints(s.State.Endpoints)
		v.arbiter.RetainEndpoints(func(id fescuebank.EndpointID) bool { return s.Endpoints[id] != nil })
		v.withdrawer.CancelUnauthorized(v.gateway.Authenticator.IsValid)
		v.scheduler.Wake()
	})
	m := v.messenger
	m.Handle(fescuebank.KindProbe, v.prober.Handle)
	m.Handle(fescuebank.KindTokens, v.admitter.Handle)
	m.Handle(fescuebank.KindLend, v.admitter.HandleLend)
	m.Handle(fescuebank.KindBucketHandover, v.admitter.HandleBucketHandover)
	m.Handle(fescuebank.KindPull, v.coordinator.HandlePull)
	m.Handle(fescuebank.KindReport, v.coordinator.HandleReport)
	m.Handle(fescuebank.KindWithdraw, v.withdrawer.Handle)
	m.Handle(fescuebank.KindLoad, v.notifier.Handle)
	m.Handle(fescuebank.KindCrashRecord, v.quarantiner.Handle)
	m.Handle(fescuebank.KindStatus, v.handleStatus)
}

// versions returns the versions that peers compare to find out who lags behind.
func (v *Supervisor) versions() fescuebank.Versions {
	return fescuebank.Versions{
		Generation:      v.applier.Current().State.Generation,
		Assignment:      v.registrar.Current().Version,
		WithdrawnDigest: v.withdrawer.Digest(),
	}
}

// handleMismatch catches up with a peer whose versions differ from those of this instance.
func (v *Supervisor) handleMismatch(from string, theirs fescuebank.Versions) {
	mine := v.versions()
	if theirs.Generation > mine.Generation || theirs.Assignment > mine.Assignment {
		v.watcher.Hint()
	}
	if theirs.WithdrawnDigest != mine.WithdrawnDigest {
		go func() { _ = v.withdrawer.Exchange(context.Background(), from) }()
	}
}
