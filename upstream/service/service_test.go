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

// TestRedirectUnsent guards against a call that ran and counts as not sent, as the address to which
// it was redirected could not be reached.
func TestRedirectUnsent(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	for _, status := range []int{http.StatusFound, http.StatusSeeOther, http.StatusTemporaryRedirect, http.StatusPermanentRedirect} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			is := is.New(t)
			runs := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				runs++
				http.Redirect(w, r, closed.URL+"/done", status)
			}))
			defer server.Close()
			_, err := service.New(time.Second).Do(t.Context(), service.Call{Method: http.MethodPost, Address: strings.TrimPrefix(server.URL, "http://"), Path: "/x", Body: []byte("x")})
			is.Equal(runs, 1)
			is.True(!service.NotSent(err))
		})
	}
}
