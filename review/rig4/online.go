package rig4

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"fescuebank"
)

// The online load of the sheet: troughs and crests of a mean rate.
const (
	onlineRate  = 41.2
	troughTime  = 3400 * time.Millisecond
	crestTime   = 2400 * time.Millisecond
	troughShare = 0.383
	crestShare  = 1.87
	// onlineDeadline is that of online requests.
	onlineDeadline = 5 * time.Second
)

// Online sends online requests of the teams until ctx ends, and returns how many were sent and how many were served.
func (r *Rig) Online(ctx context.Context, teams []string) (sent, served int) {
	var group sync.WaitGroup
	var mu sync.Mutex
	began := time.Now()
	for ; ctx.Err() == nil; sent++ {
		team, entry := teams[sent%len(teams)], r.Entries[sent%len(r.Entries)]
		group.Go(func() {
			if r.sendOnline(team, entry) {
				mu.Lock()
				served++
				mu.Unlock()
			}
		})
		share := crestShare
		if time.Since(began)%(troughTime+crestTime) < troughTime {
			share = troughShare
		}
		time.Sleep(time.Duration(float64(time.Second) / (onlineRate * share)))
	}
	group.Wait()
	return sent, served
}

// sendOnline sends one request and reports whether it was served.
func (r *Rig) sendOnline(team, entry string) bool {
	id := fescuebank.NewRandomID("r")
	ctx, cancel := context.WithTimeout(context.Background(), onlineDeadline)
	defer cancel()
	req, err := Request(ctx, team, http.MethodPost, entry, "/once/"+id, id, "prompt "+id)
	if err != nil {
		return false
	}
	req.Header.Set("X-Fescuebank-Model", "m")
	req.Header.Set("X-Fescuebank-Token-Usage", "450,270")
	req.Header.Set("X-Fescuebank-Prompt-Prefix", fmt.Sprintf("5c1e07a2:200,%s:250", id[1:]))
	req.Header.Set("X-Fescuebank-Deadline-Ms", fmt.Sprint(onlineDeadline.Milliseconds()))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}
