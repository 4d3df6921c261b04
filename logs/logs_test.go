package logs_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"petrelstep/logs"
)

// blockedWriter is a writer that blocks until free is closed.
type blockedWriter struct {
	mu   sync.Mutex
	free chan struct{}
	got  bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.free
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// TestNeverBlocks writes more lines than the queue holds to an output that blocks.
func TestNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &blockedWriter{free: make(chan struct{})}
		dropped := 0
		b := logs.NewBounded(out, func(n int) { dropped += n })
		log := logs.New(b, "info", "b1")
		began := time.Now()
		const lines = 10000
		for range lines {
			log.Info("event")
			time.Sleep(600 * time.Microsecond) // below the rate limit
		}
		is.Equal(time.Since(began), lines*600*time.Microsecond) // no write blocked
		is.True(dropped > 0)
		is.True(dropped < lines)
		close(out.free)
		b.Close(time.Minute)
		is.Equal(strings.Count(out.got.String(), "event=event")+dropped, lines) // each line is either written or counted as dropped
	})
}

func TestRateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &blockedWriter{free: make(chan struct{})}
		close(out.free)
		dropped := 0
		b := logs.NewBounded(out, func(n int) { dropped += n })
		for range 5000 {
			_, _ = b.Write([]byte("x\n"))
			synctest.Wait()
		}
		b.Close(time.Second)
		is.Equal(dropped, 3000) // 2000 a second
		_, _ = b.Write([]byte("late\n"))
		is.Equal(dropped, 3001)
	})
}
