package answers

import (
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.Transport that checks the answers it returns.
type Transport struct{ *http.Transport }

// NewTransport returns a transport that checks answers. It changes how t opens connections.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = checkedDial(dial)
	return &Transport{t}
}

// RoundTrip implements http.RoundTripper. The error is an *UnsentError if no byte of the request was
// written, nor of one that was redirected to it.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	tried := &attempts{}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), tried.trace())))
	if err != nil {
		if req.Response != nil { // of the request that was redirected
			return nil, err
		}
		return nil, tried.failure(err)
	}
	if err := checkHead(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	resp.Body = &trailerBody{ReadCloser: resp.Body, resp: resp}
	return resp, nil
}
