package persister

import (
	"context"
	"errors"
	"strconv"

	"github.com/rotisserie/eris"

	"fescuebank"
)

// StoredName names the objects of a job and its results. It is the job's id, or if another team has stored a job under that id before,
// the id with the team.
type StoredName string

// storedNames returns the names that a job of a team may have, in order of preference.
func storedNames(team fescuebank.TeamID, id fescuebank.JobID) []StoredName {
	return []StoredName{StoredName(id), StoredName(string(id) + "~" + string(team))}
}

func objectKey(prefix string, name StoredName, i int) string {
	return prefix + string(name) + "." + strconv.Itoa(i)
}

// PutJob stores a job. It returns the team's job that is stored under its id, which is another encoding of it if an
// earlier attempt has completed, and its name. What is stored never changes. It fails with ErrExists if other teams have all
// names.
func (p *Persister) PutJob(ctx context.Context, job *fescuebank.RoutedJob) (stored *fescuebank.RoutedJob, name StoredName, err error) {
	encoded, err := p.encode(job)
	if err != nil {
		return nil, "", eris.Wrap(err, "Persister.PutJob")
	}
	for _, name := range storedNames(job.Team, job.ID) {
		plain := func(i int) string { return objectKey(jobPrefix, name, i) }
		err := p.putValue(ctx, objectKey(jobPrefix, name, 0), encoded, plain)
		if err == nil {
			return job, name, nil
		}
		if !errors.Is(err, ErrExists) {
			return nil, "", eris.Wrap(err, "Persister.PutJob")
		}
		stored, err := p.job(ctx, name)
		if err != nil || stored.Team == job.Team {
			return stored, name, eris.Wrap(err, "Persister.PutJob")
		}
	}
	return nil, "", eris.Wrap(ErrExists, "Persister.PutJob")
}

// Job reads a team's job and returns it with its name. It fails with fescuebank.ErrAbsent if there is none, and with ErrUnreadable if what
// is stored is not a complete job.
func (p *Persister) Job(ctx context.Context, team fescuebank.TeamID, id fescuebank.JobID) (*fescuebank.RoutedJob, StoredName, error) {
	for _, name := range storedNames(team, id) {
		job, err := p.job(ctx, name)
		if err == nil && job.Team == team {
			return job, name, nil
		}
		if err != nil && !errors.Is(err, fescuebank.ErrAbsent) {
			return nil, "", eris.Wrap(err, "Persister.Job")
		}
	}
	return nil, "", eris.Wrap(fescuebank.ErrAbsent, "Persister.Job")
}

// job reads the job with a name, of any team.
func (p *Persister) job(ctx context.Context, name StoredName) (*fescuebank.RoutedJob, error) {
	plain := func(i int) string { return objectKey(jobPrefix, name, i) }
	var job fescuebank.RoutedJob
	if err := p.readValue(ctx, objectKey(jobPrefix, name, 0), plain, &job); err != nil {
		return nil, err
	}
	return &job, nil
}
