package target

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// maxStatus is the highest status code (RFC 9110, 15).
const maxStatus = 599

// statusLine is the beginning of an answer.
var statusLine = regexp.MustCompile(`HTTP/[0-9]\.[0-9] [0-9]{3}( |$)`)

var (
	errNoVersion   = errors.New("the answer is not of HTTP/1")
	errNoStatus    = errors.New("the status of the answer is outside 100 to 599")
	errNoName      = errors.New("the answer has a header with a space in its name")
	errTwoHeads    = errors.New("the head of the answer holds the beginning of another")
	errOldEncoding = errors.New("an answer of HTTP/1.0 has a transfer encoding")
)

// checkHead rejects heads that net/http reads and that are none.
func checkHead(response *http.Response) error {
	if response.ProtoMajor != 1 {
		return errNoVersion
	}
	if response.StatusCode < http.StatusContinue || response.StatusCode > maxStatus {
		return errNoStatus
	}
	for name := range response.Header {
		if strings.Contains(name, " ") {
			// One that frames the body would have been passed over.
			return errNoName
		}
	}
	if !oneHead(response) {
		return errTwoHeads
	}
	return nil
}

// oneHead reports whether a head is that of one answer. One that was cut, with
// another behind it, reads as a single head with the status of the first.
func oneHead(response *http.Response) bool {
	if beginsAnswer(response.Status) {
		return false
	}
	for _, values := range response.Header {
		if slices.ContainsFunc(values, beginsAnswer) {
			return false
		}
	}
	for name := range response.Trailer {
		if beginsAnswer(name) {
			return false
		}
	}
	return true
}

// beginsAnswer reports whether a text holds a status line.
func beginsAnswer(text string) bool {
	return strings.Contains(text, "HTTP/") && statusLine.MatchString(text)
}

const (
	// oldVersion begins the answers of HTTP/1.0.
	oldVersion = "HTTP/1.0"
	// encodingHeader begins the line of the header that net/http drops from them.
	encodingHeader = "Transfer-Encoding:"
)

// readResponse reads one head. net/http takes the body of an HTTP/1.0 answer to
// last until the connection closes, even one in chunks, which would look whole
// wherever it is cut (RFC 9112, 6.1).
func (c *connection) readResponse(request *http.Request) (*http.Response, error) {
	begin, err := c.reader.Peek(len(oldVersion))
	if err != nil {
		return nil, cutHead(err)
	}
	if string(begin) != oldVersion {
		return http.ReadResponse(c.reader, request)
	}
	var head bytes.Buffer
	for ended := false; !ended; {
		line, err := c.reader.ReadBytes('\n')
		if err != nil {
			return nil, cutHead(err)
		}
		if len(line) >= len(encodingHeader) && strings.EqualFold(string(line[:len(encodingHeader)]), encodingHeader) {
			return nil, errOldEncoding
		}
		head.Write(line)
		ended = len(bytes.TrimRight(line, "\r\n")) == 0
	}
	response, err := http.ReadResponse(bufio.NewReader(io.MultiReader(&head, c.reader)), request)
	if err == nil {
		// The new reader holds what follows.
		response.Close = true
	}
	return response, err
}

// cutHead keeps the end of a connection inside a head from looking like an end in
// order.
func cutHead(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
