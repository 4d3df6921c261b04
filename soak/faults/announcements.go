package faults

import (
	"context"
	"fmt"
	"time"
)

const (
	// maxAnnouncePause bounds the pause between two announcements.
	maxAnnouncePause = time.Second
	// leaveNotice is how long a worker continues to serve that announces leaving in its
	// responses only: well beyond the time in which requests may still reach it.
	leaveNotice = 6 * time.Second
	// maxBackoff bounds the announced backoffs.
	maxBackoff = 5 * time.Second
)

// RunAnnouncements has one worker after the other announce leaving or a backoff in its
// responses, until ctx ends.
func (s *Injector) RunAnnouncements(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(s.announceRandom.Int64N(int64(maxAnnouncePause))))
		service, n, leaving := []string{"llm", "plain", "plain"}[s.announceRandom.IntN(3)], s.announceRandom.IntN(1000), s.announceRandom.IntN(2) == 0
		backoff := time.Second + time.Duration(s.announceRandom.Int64N(int64(maxBackoff-time.Second)))
		w := s.site.Pick(service, n)
		switch {
		case w == nil || ctx.Err() != nil:
		case leaving:
			fmt.Fprintf(s.out, "       %s announces leaving\n", w.ID)
			if err := s.site.LeaveInResponses(w, leaveNotice); err != nil {
				return err
			}
		default:
			fmt.Fprintf(s.out, "       %s announces a backoff of %v\n", w.ID, backoff.Round(time.Millisecond))
			w.Backoff(backoff)
			sleep(ctx, backoff)
		}
	}
	return nil
}
