//go:build review

package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	uploads = 40
	// firstPart and secondPart are the parts of an upload in bytes, sent in chunks, with a
	// pause between them: 160,000 bytes in all.
	firstPart, secondPart = 120_000, 40_000
	firstChunk            = 6_000
	pause                 = 150 * time.Millisecond
	uploadDeadline        = 2500 * time.Millisecond
	// rejectDelay is how long a full server takes to reject a request.
	rejectDelay = 20 * time.Millisecond
	// work is how long a server works on an upload.
	work = 70 * time.Millisecond
)

// run is an upload that a server began to work on.
type run struct {
	server string
	body   []byte
}

// uploadServer is a server of uploads. While it is full it rejects each request as soon as it
// has read its head, with the statement that the request did not run.
type uploadServer struct {
	id     string
	record *record
	full   func() bool
	ran    func(attempt string, r run)
}

func (s *uploadServer) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *uploadServer) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		attempt := request.Header.Get("Attempt-Id")
		switch {
		case request.URL.Path == "/health":
			_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nInstance-Id: "+s.id+"\r\nContent-Length: 0\r\n\r\n")
		case request.Header.Get("Expected-Instance") != s.id:
			_, err = io.WriteString(conn, "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nAttempt-Id: "+attempt+"\r\nContent-Length: 0\r\n\r\n")
		case s.full():
			time.Sleep(rejectDelay)
			s.record.note("%s rejects %s as full, before it has read the body", s.id, attempt)
			_, err = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nAttempt-Id: "+attempt+"\r\nServer-Load: 2,8,2\r\nContent-Length: 0\r\n\r\n")
		default:
			err = s.run(conn, request, attempt)
		}
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
	}
}

// run reads the body and answers. A request whose body is not complete does not run.
func (s *uploadServer) run(conn net.Conn, request *http.Request, attempt string) error {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		s.record.note("%s: the body of %s breaks off after %d bytes; it does not run", s.id, attempt, len(body))
		return err
	}
	s.record.note("%s runs %s with %d bytes, sha256 %x", s.id, attempt, len(body), digest(body))
	s.ran(attempt, run{s.id, body})
	time.Sleep(work)
	answer := "stored by " + s.id
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: seal.%s\r\nServer-Load: 1,0,2\r\nContent-Length: %d\r\n\r\n%s", attempt, attempt, len(answer), answer)
	return err
}

func digest(body []byte) []byte { sum := sha256.Sum256(body); return sum[:4] }

// uploadBody is a body in which each four bytes hold their position.
func uploadBody() []byte {
	var body bytes.Buffer
	for body.Len() < firstPart+secondPart {
		_ = binary.Write(&body, binary.BigEndian, uint32(body.Len()))
	}
	return body.Bytes()
}

// playUpload sends uploads in chunks while one of two servers is full at a time. A server
// must get the body that was sent.
func playUpload(r *record, trouble bool) bool {
	d := newDeployment(r)
	defer d.end()
	var mu sync.Mutex
	runs := map[string][]run{}
	began := time.Now()
	for n, id := range []string{"reel-a", "reel-b"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must(err)
		d.closers = append(d.closers, func() { _ = l.Close() })
		s := &uploadServer{
			id: id, record: r,
			full: func() bool { return trouble && int(time.Since(began)/time.Second)%2 == n },
			ran: func(attempt string, got run) {
				mu.Lock()
				defer mu.Unlock()
				runs[attempt] = append(runs[attempt], got)
			},
		}
		go s.serve(l)
		d.register(id, "reel", "a", l.Addr().String(), 2, time.Now().Add(-time.Minute).UnixMilli(), "in_service")
	}
	d.configure(3, []any{route("/reel/", "upload", "reel")}, []any{service("reel", false)})
	for range 3 {
		d.addVM("a")
	}
	d.waitReady(20 * time.Second)
	time.Sleep(time.Second)

	body := uploadBody()
	r.note("each upload has %d bytes, sha256 %x", len(body), digest(body))
	for n := range uploads {
		attempt := fmt.Sprintf("upload-%02d", n)
		status, err := sendUpload(d.vms[n%len(d.vms)].callers, attempt, body)
		r.note("%s: status %d, error %v", attempt, status, err)
	}
	time.Sleep(500 * time.Millisecond)

	mu.Lock()
	defer mu.Unlock()
	held := true
	complete := 0
	for attempt, list := range runs {
		if len(list) > 1 {
			held = false
			r.note("TWICE: %s ran %d times", attempt, len(list))
		}
		for _, got := range list {
			if !bytes.Equal(got.body, body) {
				held = false
				r.note("UNASKED: %s ran %s with another body: %d bytes instead of %d, %s", got.server, attempt, len(got.body), len(body), difference(got.body, body))
				continue
			}
			complete++
		}
	}
	r.note("%d uploads ran, %d with the body that was sent", len(runs), complete)
	if len(runs) == 0 {
		must(fmt.Errorf("no upload ran"))
	}
	return held
}

func difference(got, sent []byte) string {
	n := 0
	for n < len(got) && got[n] == sent[n] {
		n++
	}
	return fmt.Sprintf("the first difference is at byte %d", n)
}

// sendUpload sends an upload in chunks and returns the status of the answer.
func sendUpload(address, attempt string, body []byte) (int, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(uploadDeadline))
	answered := make(chan *http.Response, 1)
	failed := make(chan error, 1)
	go func() {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			failed <- err
			return
		}
		answered <- response
	}()
	head := fmt.Sprintf("POST /reel/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nRequest-Deadline: %d\r\nTransfer-Encoding: chunked\r\n\r\n",
		host, attempt, uploadDeadline.Milliseconds())
	if _, err := io.WriteString(conn, head); err != nil {
		return 0, err
	}
	send := func(part []byte) {
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(part), part)
	}
	for at := 0; at < firstPart; at += firstChunk {
		send(body[at : at+firstChunk])
	}
	select {
	case <-time.After(pause):
		send(body[firstPart:])
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	case response := <-answered:
		// An early answer: the rest of the body is not sent.
		return response.StatusCode, nil
	case err := <-failed:
		return 0, err
	}
	select {
	case response := <-answered:
		return response.StatusCode, nil
	case err := <-failed:
		return 0, err
	}
}
