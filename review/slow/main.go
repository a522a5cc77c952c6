// Command slow shows that an answer that a crash of its endpoint has cut is passed on as complete, if the end of the
// connection is read when the endpoint is up again.
package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"fescuebank"
	"fescuebank/review/rig4"
)

const (
	endpointArgument = "endpoint"
	team             = "one"
	// One of the endpoints crashes.
	endpoints = 5
	callers   = 15
	// deadline is that of the callers and of the route.
	deadline = 10 * time.Second
	// crashAfter is when the endpoint crashes, after the requests were sent, and downTime how long it is down.
	crashAfter = time.Second
	downTime   = time.Second
	// A caller reads readBytes in each readInterval.
	readBytes    = 64 << 10
	readInterval = 32 * time.Millisecond
	receiveBytes = 64 << 10
)

func main() {
	if len(os.Args) == 4 && os.Args[1] == endpointArgument {
		os.Exit(serveEndpoint(os.Args[2], os.Args[3]))
	}
	os.Exit(run())
}

// outcome is what a caller got.
type outcome struct {
	status int
	bytes  int
	// isWhole is set if the response ended in order, and isRight if the bytes are those of the answer.
	isWhole, isRight bool
}

func run() int {
	rig, err := rig4.New("review/slow/record.txt", team)
	if err != nil {
		fmt.Println("not played:", err)
		return rig4.ExitNotPlayed
	}
	defer rig.Close()
	var list []*endpoint
	for i, addr := range rig.FreePorts(endpoints) {
		e := &endpoint{id: fmt.Sprintf("i-%d", i), addr: addr, rig: rig}
		if err := e.start(); err != nil {
			fmt.Println("not played:", err)
			return rig4.ExitNotPlayed
		}
		defer e.stop()
		list = append(list, e)
	}
	if err := rig.StartInstances(3, 2); err != nil {
		fmt.Println("not played:", err)
		return rig4.ExitNotPlayed
	}
	time.Sleep(3 * time.Second)
	outcomes := make([]outcome, callers)
	var group sync.WaitGroup
	for i := range outcomes {
		group.Go(func() { outcomes[i] = call(rig, rig.Entries[i%len(rig.Entries)]) })
	}
	if os.Getenv("TROUBLE") != "0" {
		time.Sleep(crashAfter)
		list[0].stop()
		time.Sleep(downTime)
		if err := list[0].start(); err != nil {
			fmt.Println("not played:", err)
			return rig4.ExitNotPlayed
		}
	}
	group.Wait()
	return judge(outcomes)
}

// judge looks for successes that look complete and aren't the whole answer.
func judge(outcomes []outcome) int {
	answered, whole, cut := 0, 0, 0
	for _, o := range outcomes {
		if o.status != 0 {
			answered++
		}
		switch {
		case o.status != http.StatusOK || !o.isWhole:
		case o.bytes == answerBytes && o.isRight:
			whole++
		default:
			cut++
		}
	}
	fmt.Printf("%d callers, %d answered, %d of them with the whole answer, %d with part of it as a complete success\n", len(outcomes), answered, whole, cut)
	switch {
	case cut > 0:
		fmt.Println("broken: MIXED")
		return rig4.ExitBroken
	case whole == 0:
		fmt.Println("not played: no caller got the whole answer")
		return rig4.ExitNotPlayed
	}
	return rig4.ExitHeld
}

// call sends a request and reads the answer slowly.
func call(rig *rig4.Rig, entry string) (o outcome) {
	id := fescuebank.NewRandomID("r")
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := rig4.Request(ctx, team, http.MethodPost, entry, "/docs/"+id, id, "prompt")
	if err != nil {
		return o
	}
	req.Header.Set("X-Fescuebank-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	rig.Log("caller sends %s to %s", id, entry)
	resp, err := slowClient().Do(req)
	if err != nil {
		rig.Log("caller gets no answer to %s: %v", id, err)
		return o
	}
	defer func() { _ = resp.Body.Close() }()
	o = read(resp)
	rig.Log("caller gets %d for %s: %d bytes, looks complete %t, bytes of the answer %t, of %d", o.status, id, o.bytes, o.isWhole, o.isRight, answerBytes)
	return o
}

// read reads a response slowly.
func read(resp *http.Response) outcome {
	o := outcome{status: resp.StatusCode, isRight: true}
	got, want := make([]byte, readBytes), make([]byte, readBytes)
	for {
		n, err := io.ReadFull(resp.Body, got)
		fillBlock(want, o.bytes)
		o.isRight = o.isRight && bytes.Equal(got[:n], want[:n])
		o.bytes += n
		if err != nil {
			o.isWhole = err == io.EOF || errors.Is(err, io.ErrUnexpectedEOF) && isEnd(resp)
			return o
		}
		time.Sleep(readInterval)
	}
}

// isEnd reports whether a response has ended in order: io.ReadFull says io.ErrUnexpectedEOF for an end within a block, too.
func isEnd(resp *http.Response) bool {
	_, err := resp.Body.Read(make([]byte, 1))
	return err == io.EOF
}

// slowClient returns a client whose connections hold little that was not read.
func slowClient() *http.Client {
	dialer := &net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
		})
		return errors.Join(err, optionErr)
	}}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
}
