package worker

import (
	"io"
	"net"
	"net/http"
)

// Faults that look like answers.
const (
	Early200   Fault = "early_200"   // a part without a length, before the body is read, and a reset
	BadStatus  Fault = "bad_status"  // status 000
	BadField   Fault = "bad_field"   // a field whose name has a blank
	BadTrailer Fault = "bad_trailer" // the same of a trailer
)

// partRead is how much of a request is read before a reset, in bytes.
const partRead = 1 << 20

// breakOff sends a part of an answer while the request is still being written, and resets the
// connection.
func (w *Worker) breakOff(out http.ResponseWriter, r *http.Request, id string) {
	conn, in, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, w.head(id)+"\r\nid: 0\ndata: a part\n\n")
	_, _ = io.CopyN(io.Discard, in, min(partRead, max(r.ContentLength, 0)/2))
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = conn.Close()
}

// sendInvalid sends an invalid answer and reports whether the fault is one.
func (w *Worker) sendInvalid(out http.ResponseWriter, id string, fault Fault) bool {
	const body = "9\r\ndata: x\n\n\r\n0\r\n"
	switch fault {
	case BadStatus:
		writeRaw(out, "HTTP/1.1 000 Broken\r\nRequest-Id: "+id+"\r\nResponse-Seal: seal-"+w.id+"\r\nContent-Length: 9\r\n\r\ndata: x\n\n")
	case BadField:
		writeRaw(out, w.head(id)+"X Own: a\r\nContent-Length: 9\r\n\r\ndata: x\n\n")
	case BadTrailer:
		writeRaw(out, w.head(id)+"Transfer-Encoding: chunked\r\n\r\n"+body+"X Own: a\r\n\r\n")
	default:
		return false
	}
	return true
}

// head returns the head of a success up to the fields of its body.
func (w *Worker) head(id string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Seal: seal-" + w.id + "\r\n"
}
