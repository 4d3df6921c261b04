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

// stuck is a reader that does not read until it is let go.
type stuck struct {
	mu   sync.Mutex
	free chan struct{}
	got  bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// TestNeverBlocks writes far more than is held to a reader that does not read.
func TestNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &stuck{free: make(chan struct{})}
		dropped := 0
		b := logs.NewBounded(out, func(n int) { dropped += n })
		log := logs.New(b, "info", "b1")
		began := time.Now()
		const lines = 10000
		for range lines {
			log.Info("event")
			time.Sleep(600 * time.Microsecond) // below the bound on the rate
		}
		is.Equal(time.Since(began), lines*600*time.Microsecond) // no write held it up
		is.True(dropped > 0)
		is.True(dropped < lines)
		close(out.free)
		b.Close(time.Minute)
		is.Equal(strings.Count(out.got.String(), "event=event")+dropped, lines) // each line is written or counted
	})
}

func TestRateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &stuck{free: make(chan struct{})}
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
