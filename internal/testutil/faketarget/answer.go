package faketarget

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/chestnutcourse/chestnutcourse/internal/connection/target"
)

// refuse answers that the request was not run.
func (t *Target) refuse(w http.ResponseWriter, r *http.Request, refusal string) {
	t.mu.Lock()
	incarnation := t.settings.Incarnation
	t.mu.Unlock()
	header := w.Header()
	setIncarnation(header, incarnation)
	header.Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
	header.Set(target.HeaderNotRun, refusal)
	header.Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// answer sends the answer of an executed request, with its fault if it has one.
func answer(w http.ResponseWriter, done *work) {
	switch done.fault {
	case FaultNone, FaultLate:
		writeAnswer(w, done)
	default:
		writeFaulty(w, done)
	}
}

func writeAnswer(w http.ResponseWriter, done *work) {
	body := AnswerBody(done.requestID, done.key, done.answerBytes)
	setIncarnation(w.Header(), done.incarnation)
	w.Header().Set(target.HeaderRequestID, done.requestID)
	w.Header().Set("Content-Type", "text/plain")
	if !done.chunked {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if done.interrupted {
		w.WriteHeader(http.StatusGatewayTimeout)
	} else {
		w.WriteHeader(http.StatusOK)
	}
	if done.chunked {
		_ = http.NewResponseController(w).Flush()
	}
	_, _ = w.Write(body)
}

// AnswerBody returns the body that a target sends: a line that names the
// request, then filling up to the length.
func AnswerBody(requestID, key string, length int) []byte {
	line := fmt.Sprintf("request=%s key=%s\n", requestID, key)
	if missing := length - len(line); missing > 0 {
		line += strings.Repeat("answer.\n", missing/8+1)[:missing]
	}
	return []byte(line)
}

// writeFaulty takes the connection over and sends a defective answer.
func writeFaulty(w http.ResponseWriter, done *work) {
	socket, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic("faketarget: the server cannot hand over its connection: " + err.Error())
	}
	defer socket.Close()
	_, _ = buffered.WriteString(faultyBytes(done))
	_ = buffered.Flush()
	if done.fault == FaultReset {
		if tcp, ok := socket.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
}

// faultyBytes returns the bytes of a defective answer.
func faultyBytes(done *work) string {
	body := string(AnswerBody(done.requestID, done.key, done.answerBytes))
	half := body[:len(body)/2]
	switch done.fault {
	case FaultCrossed:
		other := string(AnswerBody("crossed-"+done.requestID, done.key, done.answerBytes))
		return head("crossed-"+done.requestID, done.incarnation, fmt.Sprintf("Content-Length: %d", len(other))) + other
	case FaultShort:
		return head(done.requestID, done.incarnation, fmt.Sprintf("Content-Length: %d", len(body))) + half
	case FaultShortChunked:
		return head(done.requestID, done.incarnation, "Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n%s\r\n", len(half), half)
	case FaultEndless:
		return head(done.requestID, done.incarnation, "Connection: close") + body
	case FaultDoubled:
		whole := head(done.requestID, done.incarnation, fmt.Sprintf("Content-Length: %d", len(body))) + body
		return whole + whole
	case FaultGarbage:
		return "220 this is not HTTP\r\n\r\n"
	}
	return ""
}

func head(requestID, incarnation, length string) string {
	lines := []string{"HTTP/1.1 200 OK", target.HeaderRequestID + ": " + requestID, length}
	if incarnation != "" {
		lines = append(lines, target.HeaderIncarnation+": "+incarnation)
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}
