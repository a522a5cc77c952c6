package administrator

import (
	"context"

	"fescuebank"
	"fescuebank/internal/operate/evaluator"
)

// backend implements console.Backend.
type backend struct {
	*Administrator
}

// Current returns the newest desired state.
func (b backend) Current(ctx context.Context) (*fescuebank.DesiredState, error) {
	return b.Publisher.Current(ctx)
}

// Apply publishes a desired state and returns its generation.
func (b backend) Apply(ctx context.Context, d *fescuebank.DesiredState) (fescuebank.Generation, error) {
	return b.Publisher.Apply(ctx, d)
}

// GrantKey creates a key for a team.
func (b backend) GrantKey(ctx context.Context, team fescuebank.TeamID, label string) (string, error) {
	granted, err := b.grant(ctx, team, label)
	return granted.Key, err
}

// WithdrawKey withdraws a key.
func (b backend) WithdrawKey(ctx context.Context, h fescuebank.KeyHash) error {
	b.withdraw(ctx, h)
	return nil
}

// FleetStatus returns the state of all instances.
func (b backend) FleetStatus(ctx context.Context) ([]fescuebank.InstanceStatus, []fescuebank.InstanceID) {
	return b.Fleet.FleetStatus(ctx)
}

// ActiveJobs returns the unfinished batch jobs.
func (b backend) ActiveJobs(ctx context.Context) ([]*fescuebank.Job, error) {
	return b.Submitter.ActiveJobs(ctx, maxListedJobs)
}

// maxListedJobs bounds the number of jobs on a page.
const maxListedJobs = 100

// CancelJob cancels a batch job.
func (b backend) CancelJob(ctx context.Context, team fescuebank.TeamID, id fescuebank.JobID) error {
	_, err := b.Submitter.Cancel(ctx, team, id)
	return err
}

// Burn returns the report on service levels.
func (b backend) Burn(ctx context.Context) evaluator.Report {
	return b.Administrator.Burn(ctx)
}
