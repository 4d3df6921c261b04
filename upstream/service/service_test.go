package service_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/upstream/service"
)

// TestRetryAfter checks that the Retry-After header of a service is returned.
func TestRetryAfter(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "7")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	a, err := service.New(time.Second).Do(t.Context(), service.Call{Method: http.MethodGet, Address: strings.TrimPrefix(server.URL, "http://"), Path: "/x"})
	is.NoErr(err)
	is.Equal(a.Status, http.StatusServiceUnavailable)
	is.Equal(a.RetryAfter, "7")
}
