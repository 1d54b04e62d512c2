package target

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// scriptedConn is a connection to a target that sends a fixed text and closes.
type scriptedConn struct {
	net.Conn
	text io.Reader
}

func (s *scriptedConn) Read(p []byte) (int, error)       { return s.text.Read(p) }
func (s *scriptedConn) Write(p []byte) (int, error)      { return len(p), nil }
func (s *scriptedConn) Close() error                     { return nil }
func (s *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// exchangeWith sends a request to a target that answers with text, and returns the answer
// that the exchange read.
func exchangeWith(options PoolOptions, method, text string) (status int, body string, err error) {
	source := &boundedReader{source: &scriptedConn{text: strings.NewReader(text)}, remaining: math.MaxInt64}
	c := &connection{socket: &countingSocket{Conn: source.source.(net.Conn)}, source: source, reader: bufio.NewReader(source)}
	exchange := &Exchange{pool: NewPoolWithOptions("target", 1, options), connection: c}
	request := &http.Request{Method: method, URL: &url.URL{Path: "/"}, Host: "target", Header: http.Header{}, ProtoMajor: 1, ProtoMinor: 1}
	request.Header.Set(HeaderRequestID, "a")
	answer, err := exchange.Do(context.Background(), request, false)
	if err != nil {
		return 0, "", err
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	return answer.Status, string(content), err
}

// referenceParser parses answers by RFC 9112, independently of net/http. text is what has
// not been parsed yet. The methods return false if the text is not valid and complete.
type referenceParser struct{ text string }

var (
	referenceStatus = regexp.MustCompile(`^HTTP/1\.([0-9]) +([1-5][0-9]{2})( .*)?$`)
	referenceHeader = regexp.MustCompile("^([!#$%&'*+.^_`|~0-9A-Za-z-]+):(.*)$")
	referenceGlued  = regexp.MustCompile(`HTTP/[0-9]\.[0-9] [0-9]{3}( |$)`)
	referenceChunk  = regexp.MustCompile(`^([0-9A-Fa-f]+)[ \t]*(;.*)?$`)
)

// line reads one line.
func (r *referenceParser) line() (string, bool) {
	line, rest, found := strings.Cut(r.text, "\n")
	r.text = rest
	return strings.TrimSuffix(line, "\r"), found
}

// headers reads header or trailer lines up to the empty line. The names in the result are
// in lower case.
func (r *referenceParser) headers() (map[string][]string, bool) {
	headers, last := map[string][]string{}, ""
	for {
		line, ok := r.line()
		if !ok || referenceGlued.MatchString(line) {
			return nil, false
		}
		if line == "" {
			return headers, true
		}
		if last != "" && (line[0] == ' ' || line[0] == '\t') {
			values := headers[last]
			values[len(values)-1] = strings.TrimSpace(values[len(values)-1] + " " + strings.Trim(line, " \t"))
			continue
		}
		found := referenceHeader.FindStringSubmatch(line)
		if found == nil {
			return nil, false
		}
		last = strings.ToLower(found[1])
		headers[last] = append(headers[last], strings.Trim(found[2], " \t"))
	}
}

// take reads n bytes.
func (r *referenceParser) take(n int) (string, bool) {
	if n < 0 || n > len(r.text) {
		return "", false
	}
	taken := r.text[:n]
	r.text = r.text[n:]
	return taken, true
}

// chunks reads a chunked body with its trailers.
func (r *referenceParser) chunks() (body string, ok bool) {
	for {
		line, ok := r.line()
		found := referenceChunk.FindStringSubmatch(line)
		if !ok || found == nil {
			return "", false
		}
		size, err := strconv.ParseInt(found[1], 16, 32)
		if err != nil {
			return "", false
		}
		if size == 0 {
			_, ok = r.headers()
			return body, ok
		}
		chunk, ok := r.take(int(size))
		if !ok {
			return "", false
		}
		body += chunk
		if end, ok := r.line(); !ok || end != "" {
			return "", false
		}
	}
}

// answer reads one answer. framed is set if its end does not depend on the end of the
// connection.
func (r *referenceParser) answer(method string) (status int, ids []string, body string, framed, ok bool) {
	line, ok := r.line()
	found := referenceStatus.FindStringSubmatch(line)
	if !ok || found == nil || referenceGlued.MatchString(line[1:]) {
		return 0, nil, "", false, false
	}
	status, _ = strconv.Atoi(found[2])
	headers, ok := r.headers()
	if !ok {
		return 0, nil, "", false, false
	}
	ids = headers[strings.ToLower(HeaderRequestID)]
	lengths, encodings := headers["content-length"], headers["transfer-encoding"]
	switch {
	case status < 200, method == http.MethodHead, status == http.StatusNoContent, status == http.StatusNotModified:
		return status, ids, "", true, true
	case encodings != nil:
		if found[1] == "0" || len(encodings) != 1 || !strings.EqualFold(encodings[0], "chunked") {
			return 0, nil, "", false, false
		}
		body, ok = r.chunks()
		return status, ids, body, true, ok
	case lengths != nil:
		length, err := strconv.ParseUint(lengths[0], 10, 31)
		if err != nil || len(slices.Compact(slices.Clone(lengths))) != 1 {
			return 0, nil, "", false, false
		}
		body, ok = r.take(int(length))
		return status, ids, body, true, ok
	}
	body, r.text = r.text, ""
	return status, ids, body, false, true
}

// matchingAnswer reads the answer to the request and skips informational and stray answers
// before it.
func (r *referenceParser) matchingAnswer(options PoolOptions, method string) (status int, body string, ok bool) {
	for skipped := 0; ; {
		status, ids, body, framed, ok := r.answer(method)
		if !ok || status == http.StatusSwitchingProtocols {
			return 0, "", false
		}
		if status < 200 {
			continue
		}
		if len(slices.Compact(slices.Clone(ids))) == 1 && ids[0] == "a" {
			return status, body, framed || options.Unframed
		}
		if !options.SkipStray || method == http.MethodHead || !framed || skipped == maxStrayAnswers {
			return 0, "", false
		}
		skipped++
	}
}

// FuzzAnswer checks that an exchange returns a complete answer only if the reference parser
// finds the same one, complete and for this request, in the bytes of the target.
func FuzzAnswer(f *testing.F) {
	ownID := HeaderRequestID + ": a\r\n"
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\n" + ownID + "Content-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\n" + ownID + "Transfer-Encoding: chunked\r\n\r\n4;e=f\r\nbody\r\n0\r\nT: u\r\n\r\n",
		"HTTP/1.0 200 OK\r\n" + ownID + "\r\nbody",
		"HTTP/1.0 200 OK\r\n" + ownID + "Transfer-Encoding: chunked\r\n\r\n4\r\nbo",
		"HTTP/1.1 204 No Content\r\n" + ownID + "Connection: close\r\n\r\n",
		"HTTP/1.1 503 Full\r\nChestnutcourse-Not-Run: shed\r\nContent-Length: 4\r\n\r\nfullHTTP/1.1 200 OK\r\n" + ownID + "Content-Length: 0\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 304 Not Modified\r\n" + ownID + "Content-Length: 4\r\n\r\n",
		"HTTP/1.1 503 FullHTTP/1.1 200 OK\r\n" + ownID + "Content-Length: 4, 4\r\n\r\nbody",
		"HTTP/2.0 200 OK\r\n" + HeaderRequestID + ": x\r\n" + ownID + "A: b\r\n c\r\nContent-Length: 0\r\n\r\n",
	} {
		for _, head := range []bool{false, true} {
			f.Add(text, head, true)
			f.Add(text, head, false)
		}
	}
	f.Fuzz(func(t *testing.T, text string, head, lenient bool) {
		options, method := DefaultPoolOptions, http.MethodPost
		if lenient {
			options = PoolOptions{RequestIDHeader: HeaderRequestID, Unframed: true, SkipStray: true, MaxIdle: time.Second}
		}
		if head {
			method = http.MethodHead
		}
		status, body, err := exchangeWith(options, method, text)
		if err != nil {
			return
		}
		wantStatus, wantBody, ok := (&referenceParser{text}).matchingAnswer(options, method)
		if !ok || status != wantStatus || body != wantBody {
			t.Fatalf("%s request answered by %q: got status %d and body %q; want %d, %q (valid: %v)", method, text, status, body, wantStatus, wantBody, ok)
		}
	})
}
