package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"time"

	"fescuebank/platform/simulator"
	"fescuebank/review/rig4"
)

const (
	// answerBytes is the size of an answer.
	answerBytes = 16 << 20
	wordBytes   = 8
	blockBytes  = 64 << 10
)

// fillBlock writes the bytes of an answer from an offset on into a block: the offset of each word.
func fillBlock(block []byte, offset int) {
	for i := 0; i < len(block); i += wordBytes {
		binary.BigEndian.PutUint64(block[i:], uint64(offset+i))
	}
}

// serveEndpoint is the process of an endpoint. It answers each request with answerBytes, without a length or chunks, and then ends
// the connection.
func serveEndpoint(id, addr string) int {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		fmt.Println(err)
		return rig4.ExitNotPlayed
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return rig4.ExitNotPlayed
		}
		go answer(conn, id)
	}
}

func answer(conn net.Conn, id string) {
	defer func() { _ = conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return // A check whether the endpoint is up.
	}
	if req.Header.Get("X-Fescuebank-Target-Instance") != id {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Fescuebank-Instance-Id: %s\r\nX-Fescuebank-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id, req.Header.Get("X-Fescuebank-Request-Id"))
		return
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nX-Fescuebank-Request-Id: %s\r\nX-Fescuebank-Response-Signature: %s\r\n\r\n", req.Header.Get("X-Fescuebank-Request-Id"), id)
	block := make([]byte, blockBytes)
	for offset := 0; offset < answerBytes; offset += blockBytes {
		fillBlock(block, offset)
		if _, err := conn.Write(block); err != nil {
			return
		}
	}
}

// endpoint is the process of an endpoint, as the case sees it.
type endpoint struct {
	id, addr string
	rig      *rig4.Rig
	command  *exec.Cmd
}

// start starts the process, which writes its entry.
func (e *endpoint) start() error {
	e.command = exec.Command(os.Args[0], endpointArgument, e.id, e.addr)
	if err := e.command.Start(); err != nil {
		return err
	}
	e.rig.Log("endpoint %s starts", e.id)
	return e.rig.Put(simulator.EntryKey(e.id), rig4.Entry("v1", e.addr, time.Now(), 0))
}

// stop kills the process.
func (e *endpoint) stop() {
	e.rig.Log("endpoint %s ends", e.id)
	_ = e.command.Process.Kill()
	_ = e.command.Wait()
}
