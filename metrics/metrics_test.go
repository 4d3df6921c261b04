package metrics_test

import (
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"petrelstep/metrics"
	"petrelstep/refusal"
)

// TestEveryReason checks that every reason has a counter that starts at zero and
// counts, and that the reasons for refusals and skipped second tries are documented.
func TestEveryReason(t *testing.T) {
	is := is.New(t)
	m, err := metrics.New()
	is.NoErr(err)
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	is.NoErr(err)
	for _, r := range refusal.Reasons() {
		is.True(strings.Contains(scrape(m), `petrelstep_refusals_total{`) && value(m, "petrelstep_refusals_total", string(r)) == "0")
		m.Refused(r)
		is.Equal(value(m, "petrelstep_refusals_total", string(r)), "1")
		is.True(strings.Contains(string(page), string(r)))
	}
	for _, r := range metrics.RetryReasons() {
		is.Equal(value(m, "petrelstep_retries_total", r), "0")
		m.Retried(r)
		is.Equal(value(m, "petrelstep_retries_total", r), "1")
	}
	for _, r := range metrics.SecondTrySkipReasons() {
		is.Equal(value(m, "petrelstep_second_tries_not_sent_total", r), "0")
		m.SecondTrySkipped(r)
		is.Equal(value(m, "petrelstep_second_tries_not_sent_total", r), "1")
		is.True(strings.Contains(string(page), "`"+r+"`"))
	}
}

func scrape(m *metrics.Metrics) string {
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}

func value(m *metrics.Metrics, name, reason string) string {
	for _, line := range strings.Split(scrape(m), "\n") {
		if strings.HasPrefix(line, name+"{") && strings.Contains(line, `reason="`+reason+`"`) {
			return line[strings.LastIndex(line, " ")+1:]
		}
	}
	return ""
}
