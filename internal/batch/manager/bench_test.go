package manager_test

import (
	"fmt"
	"testing"

	"fescuebank"
)

// BenchmarkNextTask measures how long it takes to hand out an item of 5,300 jobs with 25 items each.
func BenchmarkNextTask(b *testing.B) {
	const (
		jobs  = 5300
		items = 25
	)
	p := newOwnerPair()
	r := batchRoute()
	r.MaxWaitingTokens = 0
	p.config.put([]fescuebank.Route{r})
	p.config.read(1)
	for n := range jobs {
		j := job(fescuebank.JobID(fmt.Sprintf("job%d", n)), items)
		j.Team = fescuebank.TeamID(fmt.Sprintf("team%d", n/200))
		if err := p.manager(1).Submit(b.Context(), j); err != nil {
			b.Fatal(err)
		}
	}
	b.ResetTimer()
	for range b.N {
		task := p.manager(1).NextTask(func() {}, nil)
		b.StopTimer()
		if task == nil {
			b.Fatal("got no item, want one")
		}
		b.StartTimer()
	}
}
