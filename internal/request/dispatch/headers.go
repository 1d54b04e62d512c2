package dispatch

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/target"
	"github.com/chestnutcourse/chestnutcourse/internal/request/hopbyhop"
)

// ownPrefix begins the names of the headers that only the system sets.
const ownPrefix = "Chestnutcourse-"

// passedOn returns the headers that may pass to the other side. Expect does not,
// because the body is sent without waiting.
func passedOn(headers http.Header) http.Header {
	kept := make(http.Header, len(headers))
	for name, values := range headers {
		dropped := name == "Expect" || name == "Content-Length" || strings.HasPrefix(name, ownPrefix)
		if !dropped && !hopbyhop.Header(name, headers["Connection"]) {
			kept[name] = values
		}
	}
	return kept
}

// fromWire returns headers as net/http keeps them.
func fromWire(headers []*peerv1.Header) http.Header {
	converted := make(http.Header, len(headers))
	for _, header := range headers {
		converted.Add(header.Name, header.Value)
	}
	return converted
}

// toWire returns headers as they travel between daemons.
func toWire(headers http.Header) []*peerv1.Header {
	converted := make([]*peerv1.Header, 0, len(headers))
	for name, values := range headers {
		for _, value := range values {
			converted = append(converted, &peerv1.Header{Name: name, Value: value})
		}
	}
	return converted
}

// targetRequest builds the request to the target. body is nil unless the
// request's body is streamed. It fails if the request line cannot be expressed.
func targetRequest(request *peerv1.Request, body io.Reader, p *permit, deadline time.Time) (*http.Request, error) {
	location, err := url.ParseRequestURI(request.Uri)
	if err != nil {
		return nil, err
	}
	header := passedOn(fromWire(request.Headers))
	if _, named := header["User-Agent"]; !named {
		// An empty value keeps net/http from adding its own.
		header["User-Agent"] = []string{""}
	}
	setOwnHeaders(header, request, p, deadline)
	built := &http.Request{
		Method: request.Method, URL: location, Host: request.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if built.Host == "" {
		built.Host = p.target.Name
	}
	setBody(built, request, body)
	return built, nil
}

func setOwnHeaders(header http.Header, request *peerv1.Request, p *permit, deadline time.Time) {
	header.Set(target.HeaderRequestID, request.RequestId)
	header.Set(target.HeaderEpoch, strconv.FormatUint(p.target.Epoch, 10))
	header.Set(target.HeaderDeadline, unixMillis(deadline))
	header.Set(target.HeaderLatestStart, unixMillis(latestStart(p, deadline)))
	if p.target.Free {
		return
	}
	header.Set(target.HeaderFence, strconv.FormatUint(p.fence, 10))
	header.Set(target.HeaderKey, request.Key)
}

func setBody(built *http.Request, request *peerv1.Request, body io.Reader) {
	if request.BodyFollows && body != nil {
		built.ContentLength = request.ContentLength
		built.Body = io.NopCloser(body)
		return
	}
	if len(request.Body) > 0 {
		built.ContentLength = int64(len(request.Body))
		built.Body = io.NopCloser(bytes.NewReader(request.Body))
	}
}

func unixMillis(moment time.Time) string { return strconv.FormatInt(moment.UnixMilli(), 10) }
