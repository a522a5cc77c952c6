package manager

import "time"

// age returns a time for which the job has existed at least.
func (j *job) age(now time.Time) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return now.Sub(j.existsSince)
}

// recordAge applies an age that another owner knew for certain.
func (j *job) recordAge(age time.Duration, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if since := now.Add(-age); since.Before(j.existsSince) {
		j.existsSince = since
	}
}

// estimateSubmitted estimates when a job was submitted that another owner accepted. The submitter's time of day can only be compared
// with the time of day here, not with the steady time.
func (j *job) estimateSubmitted(now time.Time) {
	age := now.Round(0).Sub(j.spec.Submitted.Round(0))
	j.submitted = now.Add(-max(0, age))
}
