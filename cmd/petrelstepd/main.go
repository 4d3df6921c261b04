// Command petrelstepd is the daemon; every box runs the same one.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"petrelstep/config"
	"petrelstep/daemon"
	"petrelstep/logs"
	"petrelstep/version"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	settings := flag.String("settings", "petrelstep.json", "file of JSON settings")
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
		fmt.Println("settings are right")
		return
	}
	os.Exit(run(c))
}

func run(c config.Config) int {
	log := logs.New(os.Stderr, string(c.LogLevel), c.Box)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d, err := daemon.New(ctx, c, log)
	if err != nil {
		log.WithError(err).Error("not_started")
		return exitFailed
	}
	go signals(d, cancel)
	if err := d.Run(ctx); err != nil {
		log.WithError(err).Error("not_started")
		return exitFailed
	}
	return 0
}

// signals drains on the first signal to stop and ends at once on the second;
// SIGHUP reads the key files again.
func signals(d *daemon.Daemon, cancel context.CancelFunc) {
	got := make(chan os.Signal, 4)
	signal.Notify(got, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	stops := 0
	for s := range got {
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
