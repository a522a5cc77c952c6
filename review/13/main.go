// Command 13 shows that the items of a batch job still run after its end was acknowledged, if the owner that
// acknowledged it had been replaced and doesn't know it yet.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"fescuebank"
	"fescuebank/review/rig4"
)

const (
	workers = 9
	owners  = 3
	// restarted is the owner that is restarted, and interim the one that has the team of the ended job meanwhile.
	restarted = "store-0"
	interim   = "store-2"
	// otherTeams is the number of the teams that end no job.
	otherTeams = 7
	// jobCount jobs are submitted: one in each jobInterval, which is the rate of the sheet, the last burstCount of them in a burst
	// at six times that rate. One of them is ended, the sheet's share.
	jobCount      = 20
	burstCount    = 9
	itemsPerJob   = 10
	jobInterval   = 1950 * time.Millisecond
	burstInterval = jobInterval / 6
	formTime      = 5 * time.Second
	// restartAfter is how long after the submission of the job that is ended the owner gets SIGTERM.
	restartAfter = 100 * time.Millisecond
	// blindAfter is how long after the restarted owner has registered the watches begin to hear nothing, and blindTime for how long.
	blindAfter = 115 * time.Millisecond
	blindTime  = time.Second
	// returnTime is how long the owner may take to be listed again.
	returnTime   = 1500 * time.Millisecond
	listInterval = 2 * time.Millisecond
	// endAfter is when the caller ends the job, after the owner is listed again.
	endAfter = 30 * time.Millisecond
	// cancelTime and contactTime are the bounds cancelMs and contactMs.
	cancelTime  = 3 * time.Second
	contactTime = 3 * time.Second
	// watchTime is how long items are watched for after the disruption.
	watchTime = 22 * time.Second
	// callTimeout is how long a caller waits for an answer, and callPause the pause between two calls.
	callTimeout = 4 * time.Second
	callPause   = 200 * time.Millisecond
)

// game is one run of the case.
type game struct {
	rig *rig4.Rig
	// team and id are those of the job that is ended, entry the instance that its caller uses, and endedAt when the caller
	// got the acknowledgement.
	team, id, entry string
	endedAt         time.Time
	// calmAt is when the disruption was over.
	calmAt time.Time

	mu sync.Mutex
	// runs are the times at which items of the job reached workers.
	runs []time.Time
}

func main() {
	os.Exit(run())
}

func run() int {
	own := rig4.TeamsWith(owners, 1, func(list *fescuebank.OwnerList, team fescuebank.TeamID) bool {
		others := &fescuebank.OwnerList{Owners: slices.DeleteFunc(slices.Clone(list.Owners), func(h fescuebank.Holder) bool { return h.ID == restarted })}
		holder, _ := list.Owner(team)
		meanwhile, _ := others.Owner(team)
		return holder.ID == restarted && meanwhile.ID == interim
	})
	teams := rig4.TeamsWith(owners, otherTeams, func(_ *fescuebank.OwnerList, team fescuebank.TeamID) bool { return string(team) != own[0] })
	rig, err := rig4.New("review/13/record.txt", append(teams, own...)...)
	if err != nil {
		fmt.Println("not played:", err)
		return rig4.ExitNotPlayed
	}
	defer rig.Close()
	g := &game{rig: rig, team: own[0], id: fescuebank.NewRandomID("j")}
	if err := g.play(teams, os.Getenv("TROUBLE") != "0"); err != nil {
		fmt.Println("not played:", err)
		return rig4.ExitNotPlayed
	}
	return g.judge()
}

// play plays the usual load, and after the last job the restart.
func (g *game) play(teams []string, trouble bool) error {
	if _, err := g.rig.StartWorkers(workers, false, g.observe); err != nil {
		return err
	}
	if err := g.rig.StartInstances(3, owners); err != nil {
		return err
	}
	g.entry = g.rig.Entries[0]
	time.Sleep(formTime)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() {
		sent, served := g.rig.Online(ctx, teams)
		g.rig.Log("%d online requests sent, %d served", sent, served)
	})
	defer group.Wait()
	defer cancel()
	for i := range jobCount - 1 {
		team, id := teams[i%len(teams)], fescuebank.NewRandomID("j")
		if status := g.call(team, http.MethodPost, "/jobs/x", id, rig4.JobBody(id, itemsPerJob)); status != http.StatusAccepted {
			return fmt.Errorf("job of %s got status %d", team, status)
		}
		interval := jobInterval
		if i >= jobCount-burstCount {
			interval = burstInterval
		}
		time.Sleep(interval)
	}
	if status := g.call(g.team, http.MethodPost, "/jobs/x", g.id, rig4.JobBody(g.id, itemsPerJob)); status != http.StatusAccepted {
		return fmt.Errorf("the job that is to be ended got status %d", status)
	}
	time.Sleep(restartAfter)
	if err := g.restart(trouble); err != nil {
		return err
	}
	time.Sleep(watchTime)
	return nil
}

// restart restarts an owner, which is planned work. If that is wanted the store forgets its history meanwhile. The caller
// ends its job as the owner takes its teams over again.
func (g *game) restart(trouble bool) error {
	if err := g.rig.Restart(restarted); err != nil {
		return err
	}
	until := time.Now().Add(returnTime)
	if !g.await(until, fescuebank.MemberPrefix+restarted, func([]byte) bool { return true }) {
		return errors.New("the owner did not register in time")
	}
	var group sync.WaitGroup
	if trouble {
		group.Go(func() {
			time.Sleep(blindAfter)
			g.rig.Forget(blindTime)
		})
	}
	if !g.await(until, fescuebank.OwnerListKey, listsRestarted) {
		return errors.New("the owner was not listed in time")
	}
	time.Sleep(endAfter)
	g.end()
	group.Wait()
	g.calmAt = time.Now()
	return nil
}

// await waits until an object in the store is as wanted, or until a time.
func (g *game) await(until time.Time, key string, isWanted func(value []byte) bool) bool {
	for ; time.Now().Before(until); time.Sleep(listInterval) {
		o, err := g.rig.Store.Memory.Get(context.Background(), key)
		if err == nil && isWanted(o.Value) {
			g.rig.Log("%s is now %s", key, o.Value)
			return true
		}
	}
	return false
}

// listsRestarted reports whether a list of owners has the restarted one.
func listsRestarted(value []byte) bool {
	var list fescuebank.OwnerList
	return json.Unmarshal(value, &list) == nil && slices.ContainsFunc(list.Owners, func(h fescuebank.Holder) bool { return h.ID == restarted })
}

// end ends the job: the caller repeats the call until it is acknowledged.
func (g *game) end() {
	for until := time.Now().Add(watchTime); time.Now().Before(until); time.Sleep(callPause) {
		if g.call(g.team, http.MethodDelete, "/api/lots/"+g.id, g.id, "") == http.StatusOK {
			g.endedAt = time.Now()
			return
		}
	}
}

// observe records that a request reached a worker. The id of an item begins with that of its job.
func (g *game) observe(id string) {
	name, number, isItem := strings.Cut(id, "-")
	if !isItem {
		return
	}
	g.rig.Log("item %s of job %s runs", number, name)
	g.mu.Lock()
	defer g.mu.Unlock()
	if name == g.id {
		g.runs = append(g.runs, time.Now())
	}
}

// call makes one call of a team's caller on a new connection, and returns the status, 0 without an answer.
func (g *game) call(team, method, path, id, body string) int {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := rig4.Request(ctx, team, method, g.entry, path, id, body)
	if err != nil {
		return 0
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		g.rig.Log("caller of %s gets no answer to %s %s: %v", team, method, path, err)
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body) // Only the status counts.
	g.rig.Log("caller of %s gets %d for %s %s of job %s", team, resp.StatusCode, method, path, id)
	return resp.StatusCode
}

// judge counts the items of the job that reached workers too late: later than cancelTime after its end was acknowledged, by
// instances in touch, as no disruption was within contactTime.
func (g *game) judge() int {
	if g.endedAt.IsZero() {
		fmt.Println("not played: the end was not acknowledged")
		return rig4.ExitNotPlayed
	}
	bound := fescuebank.Latest(g.endedAt.Add(cancelTime), g.calmAt.Add(contactTime))
	g.mu.Lock()
	defer g.mu.Unlock()
	late, last := 0, g.endedAt
	for _, at := range g.runs {
		if at.After(bound) {
			late++
			last = at
		}
	}
	fmt.Printf("1 of %d jobs ended; %d times an item of it reached a worker too late, the last time %.1f s after the acknowledgement\n", jobCount, late, last.Sub(g.endedAt).Seconds())
	if late > 0 {
		fmt.Println("broken: UNASKED")
		return rig4.ExitBroken
	}
	return rig4.ExitHeld
}
