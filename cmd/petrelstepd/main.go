// Command petrelstepd is the daemon that every box runs.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/config"
	"petrelstep/daemon"
	"petrelstep/edge"
	"petrelstep/logs"
	"petrelstep/metrics"
	"petrelstep/timer"
	"petrelstep/version"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	settings := flag.String("settings", "petrelstep.json", "file with JSON settings")
	check := flag.Bool("check", false, "check the settings and exit")
	about := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	if *about {
		fmt.Println("petrelstepd", version.Version)
		return
	}
	c, err := config.New(*settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if *check {
		fmt.Println("settings are valid")
		return
	}
	os.Exit(run(c))
}

// logFlushTimeout bounds the wait at exit for log lines that are not yet written.
const logFlushTimeout = 200 * time.Millisecond

// box is a daemon of either kind: with petrelstep's own interface for callers and
// operators, or in front of the users' platform.
type box interface {
	Run(ctx context.Context) error
	Drain()
	Reload()
}

func run(c config.Config) int {
	counts, err := metrics.New()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	out := logs.NewBounded(os.Stdout, counts.LinesDropped)
	defer out.Close(logFlushTimeout)
	log := logs.New(out, string(c.LogLevel), c.Box)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b, err := newBox(ctx, c, log, counts)
	if err == nil {
		go handleSignals(b, cancel)
		err = b.Run(ctx)
	}
	if err != nil {
		log.WithError(err).Error("not_started")
		return exitFailed
	}
	return 0
}

func newBox(ctx context.Context, c config.Config, log *logrus.Entry, counts *metrics.Metrics) (box, error) {
	if c.Edge == nil {
		debug.SetMemoryLimit(int64(memoryLimitShare * c.Limits.MemoryMb * megabyte))
		d, err := daemon.New(ctx, c, log, counts)
		if err != nil {
			return nil, err
		}
		return d.OnClock(timer.Boot), nil
	}
	debug.SetMemoryLimit(int64(memoryLimitShare * c.Edge.MemoryMb * megabyte))
	return edge.New(c, log, counts).OnClock(timer.Boot), nil
}

const (
	megabyte = 1 << 20
	// memoryLimitShare is the share of a box's memory that is set as the soft limit of
	// the Go runtime; the rest is headroom.
	memoryLimitShare = 0.6
)

// handleSignals drains on the first SIGTERM or SIGINT and stops at once on the second;
// SIGHUP reloads the certificates.
func handleSignals(d box, cancel context.CancelFunc) {
	received := make(chan os.Signal, 4)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	stops := 0
	for s := range received {
		if s == syscall.SIGHUP {
			d.Reload()
			continue
		}
		stops++
		if stops > 1 {
			cancel()
			return
		}
		d.Drain()
	}
}
