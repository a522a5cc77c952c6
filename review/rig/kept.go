package main

import (
	"errors"
	"time"
)

// kept: batch jobs come and end for a while, far more than usual with trouble, and the platform watches the
// memory of the processes.
func kept(dir string, r *record, trouble bool) ([]string, error) {
	const (
		workers, tenants = 9, 8
		length           = 95 * time.Second
	)
	// As on the sheet: 0.5 jobs of 10 items a second.
	items, pause := 10, 15*time.Second
	if trouble {
		items, pause = 60, 2*time.Second
	}
	w := work{events: 204, interval: 2 * time.Millisecond, data: dense}
	d, err := startDeployment(dir, r, workers, tenants, w)
	defer d.close()
	if err != nil {
		return nil, err
	}
	stop, submitted := make(chan struct{}), make(chan struct{})
	wait := d.stream(tenants, pause, submitted, func(tenant int) *job { return newJob(tenant, items, meanBody, joined(w)) })
	time.AfterFunc(length, func() { close(stop) })
	kills, err := d.keepMemory(stop)
	close(submitted)
	if err != nil {
		return nil, err
	}
	accepted := wait()
	r.printf("%d jobs were accepted; kills: %v", len(accepted), kills)
	if len(accepted) == 0 {
		return nil, errors.New("no job was accepted")
	}
	return endsFault(kills), nil
}
