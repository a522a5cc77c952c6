package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// restartDelay is the short delay after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// memoryCheck is how often it looks at the memory of the processes.
	memoryCheck = 20 * time.Millisecond
	// maxEnds is how often a process may end by itself on as many machines as maxEndedMachines.
	maxEnds          = 3
	maxEndedMachines = 2
)

// keepMemory kills each process that uses more memory than its machine has and starts it again, as the
// platform does, until stop closes. It returns how often it killed each of them.
func (d *deployment) keepMemory(stop <-chan struct{}) (map[string]int, error) {
	kills := make(map[string]int)
	for {
		select {
		case <-stop:
			return kills, nil
		case <-time.After(memoryCheck):
		}
		for _, i := range d.instances {
			used := i.process.memory()
			if used <= i.memory {
				continue
			}
			kills[i.name]++
			d.record.printf("platform: %s uses %d MiB of %d, killed", i.name, used, i.memory)
			i.process.signal(syscall.SIGKILL)
			i.process.wait(time.Second)
			time.Sleep(restartDelay)
			if err := i.process.start(); err != nil {
				return kills, err
			}
		}
	}
}

// endless: one worker sends events without end for each item that it gets.
func endless(dir string, r *record, trouble bool) ([]string, error) {
	const (
		workers, tenants, items = 3, 8, 10
		length                  = 60 * time.Second
	)
	w := work{events: 20, interval: 50 * time.Millisecond, data: words}
	d, err := startDeployment(dir, r, workers, tenants, w)
	defer d.close()
	if err != nil {
		return nil, err
	}
	if trouble {
		bad := w
		bad.endless = true
		d.workers[0].setWork(bad)
	}
	stop, submitted := make(chan struct{}), make(chan struct{})
	wait := d.stream(tenants, 5*time.Second, submitted, func(tenant int) *job { return newJob(tenant, items, meanBody, joined(w)) })
	time.AfterFunc(length, func() { close(stop) })
	kills, err := d.keepMemory(stop)
	close(submitted)
	if err != nil {
		return nil, err
	}
	accepted := wait()
	r.printf("%d jobs were accepted; kills: %v", len(accepted), kills)
	if len(accepted) == 0 {
		return nil, fmt.Errorf("no job was accepted")
	}
	return endsFault(kills), nil
}

// endsFault returns a fault if processes ended by themselves too often on too many machines.
func endsFault(kills map[string]int) []string {
	often := 0
	for _, count := range kills {
		if count >= maxEnds {
			often++
		}
	}
	if often < maxEndedMachines {
		return nil
	}
	return []string{fmt.Sprintf("Fault: processes ended by themselves, over their machines' memory: %v", kills)}
}
