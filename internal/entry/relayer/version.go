package relayer

import (
	"context"
	"net/http"

	"fescuebank"
)

// keepService picks the service of a resumable stream by the id of the attempt that began it, so
// that a caller's later attempts go to the same service.
func (t *transfer) keepService() {
	r := t.request
	began := r.ID
	if r.ResumeAfter != "" {
		began = r.Resumes
	}
	if r.Route.Resumable && began != "" {
		r.Service = r.Route.ServiceOf(string(began))
	}
}

// findVersion determines the software version of the endpoints at which a stream that the
// caller takes up has begun. What two versions generate doesn't fit together, so the request
// is refused if the version can't be found out.
func (t *transfer) findVersion(ctx context.Context) error {
	r := t.request
	if r.ResumeAfter == "" {
		return nil
	}
	sole, isSole := t.allocator.SoleVersion(r.Service)
	if isSole && sole == "" {
		return nil
	}
	version, isKnown := t.findRecord(ctx)
	if !isKnown && isSole && t.inTouch() {
		version, isKnown = sole, true
	}
	if !isKnown && !isSole {
		version, isKnown = t.soleBefore(ctx)
	}
	if !isKnown {
		return fescuebank.Refuse(http.StatusServiceUnavailable, fescuebank.CodeCannotResume,
			"the software version that began the stream is not known").WithRetryAfter(t.retryAfter())
	}
	t.version, t.begun = version, true
	return nil
}

// soleBefore returns the only version listed here if it was also the only one before this instance
// started.
func (t *transfer) soleBefore(ctx context.Context) (version string, ok bool) {
	only, ok := t.allocator.OnlyVersion(t.request.Service)
	if !ok || !t.inTouch() || !t.history.WasSole(ctx, t.request.Service, only) {
		return "", false
	}
	return only, true
}

// findRecord returns the version in the record of the stream that the caller takes up.
func (t *transfer) findRecord(ctx context.Context) (version string, ok bool) {
	if t.request.Resumes == "" {
		return t.begunStreams.FindSole(ctx, fingerprintID(t.request))
	}
	return t.begunStreams.Find(ctx, t.request.Resumes)
}

// begin binds the stream to the version of its first endpoint, before its first event is sent.
func (t *transfer) begin() {
	if t.begun {
		return
	}
	t.version, t.begun = t.endpoint.Version, true
	t.stalls.bind(t.version)
	if t.request.Route.Resumable && t.version != "" {
		t.begunStreams.Record(t.request.ID, t.version)
		t.begunStreams.Record(fingerprintID(t.request), t.version)
	}
}

// fingerprintID returns the id by which a stream is recorded for callers that don't name the
// attempt that began it.
func fingerprintID(r *fescuebank.Request) fescuebank.RequestID {
	return fescuebank.RequestID("fingerprint/" + r.Fingerprint().String())
}
