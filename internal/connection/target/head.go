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

// maxStatus is the highest valid status code (RFC 9110, section 15).
const maxStatus = 599

// statusLine matches the beginning of a status line.
var statusLine = regexp.MustCompile(`HTTP/[0-9]\.[0-9] [0-9]{3}( |$)`)

var (
	errUnsupportedVersion = errors.New("the answer is not HTTP/1")
	errInvalidStatus      = errors.New("the status of the answer is outside 100 to 599")
	errInvalidHeaderName  = errors.New("the answer has a header name that contains a space")
	errMergedHeads        = errors.New("the head of the answer contains the beginning of another answer")
	errHTTP10Encoding     = errors.New("an HTTP/1.0 answer has a transfer encoding")
)

// checkHead rejects invalid heads that net/http accepts.
func checkHead(response *http.Response) error {
	if response.ProtoMajor != 1 {
		return errUnsupportedVersion
	}
	if response.StatusCode < http.StatusContinue || response.StatusCode > maxStatus {
		return errInvalidStatus
	}
	for name := range response.Header {
		if strings.Contains(name, " ") {
			// net/http would not have recognized a Content-Length or Transfer-Encoding
			// header of this form, so the end of the body is not known.
			return errInvalidHeaderName
		}
	}
	if !isSingleHead(response) {
		return errMergedHeads
	}
	return nil
}

// isSingleHead reports whether a head belongs to a single answer. If a head is cut off and
// another answer follows, net/http parses both as one head with the status of the
// first.
func isSingleHead(response *http.Response) bool {
	if containsStatusLine(response.Status) {
		return false
	}
	for _, values := range response.Header {
		if slices.ContainsFunc(values, containsStatusLine) {
			return false
		}
	}
	for name := range response.Trailer {
		if containsStatusLine(name) {
			return false
		}
	}
	return true
}

// containsStatusLine reports whether text contains the beginning of a status line.
func containsStatusLine(text string) bool {
	return strings.Contains(text, "HTTP/") && statusLine.MatchString(text)
}

const (
	// http10Prefix is what HTTP/1.0 answers begin with.
	http10Prefix = "HTTP/1.0"
	// transferEncodingPrefix is the beginning of the header line that net/http ignores in
	// HTTP/1.0 answers.
	transferEncodingPrefix = "Transfer-Encoding:"
)

// readResponse reads one head. It rejects HTTP/1.0 answers with a Transfer-Encoding
// header (RFC 9112, section 6.1): net/http ignores the header and reads the body until
// the connection closes, so that a chunked body would seem complete wherever it is cut
// off.
func (c *connection) readResponse(request *http.Request) (*http.Response, error) {
	begin, err := c.reader.Peek(len(http10Prefix))
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	if string(begin) != http10Prefix {
		return http.ReadResponse(c.reader, request)
	}
	var head bytes.Buffer
	for ended := false; !ended; {
		line, err := c.reader.ReadBytes('\n')
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		if len(line) >= len(transferEncodingPrefix) && strings.EqualFold(string(line[:len(transferEncodingPrefix)]), transferEncodingPrefix) {
			return nil, errHTTP10Encoding
		}
		head.Write(line)
		ended = len(bytes.TrimRight(line, "\r\n")) == 0
	}
	response, err := http.ReadResponse(bufio.NewReader(io.MultiReader(&head, c.reader)), request)
	if err == nil {
		// The new reader may have buffered bytes that follow the answer, so the
		// connection cannot be reused.
		response.Close = true
	}
	return response, err
}

// unexpectedEOF converts io.EOF to io.ErrUnexpectedEOF, because a connection that ends
// within a head is a failure.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
