package faults

import (
	"context"
	"fmt"
	"time"
)

const (
	// wordPause is the longest pause between two workers' words.
	wordPause = time.Second
	// answersNotice is how long a worker that says in its answers alone that it leaves
	// serves on: well beyond the time in which requests may still reach it.
	answersNotice = 6 * time.Second
	// restMost is the longest rest that is asked for.
	restMost = 5 * time.Second
)

// RunAnnouncements lets workers leave by their answers alone, and ask for rest, one worker after the
// other, until ctx ends. What is random about it is drawn apart from all strikes.
func (s *Injector) RunAnnouncements(ctx context.Context) error {
	for ctx.Err() == nil {
		pass(ctx, time.Duration(s.word.Int64N(int64(wordPause))))
		service, n, leaves := []string{"llm", "plain", "plain"}[s.word.IntN(3)], s.word.IntN(1000), s.word.IntN(2) == 0
		rest := time.Second + time.Duration(s.word.Int64N(int64(restMost-time.Second)))
		w := s.site.Pick(service, n)
		switch {
		case w == nil || ctx.Err() != nil:
		case leaves:
			fmt.Fprintf(s.out, "       %s leaves by its answers\n", w.ID)
			if err := s.site.LeaveByAnswers(w, answersNotice); err != nil {
				return err
			}
		default:
			fmt.Fprintf(s.out, "       %s asks for %v of rest\n", w.ID, rest.Round(time.Millisecond))
			w.Backoff(rest)
			pass(ctx, rest)
		}
	}
	return nil
}
