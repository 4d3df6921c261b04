//go:build integration

package integration

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// daemon is the path of the daemon's binary.
var daemon string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "petrelstep")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	daemon = filepath.Join(dir, "petrelstepd")
	if out, err := exec.Command("go", "build", "-o", daemon, "petrelstep/cmd/petrelstepd").CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, err, string(out))
		return 1
	}
	return m.Run()
}

// process is a running daemon.
type process struct {
	id          int
	ended       <-chan struct{}
	memoryMB    int // bound of its memory, in MiB
	descriptors int // bound of its open file descriptors
}

const (
	samples        = 10
	sampleInterval = 20 * time.Millisecond
)

// check checks that the process lives within its bounds.
func (p process) check(t *testing.T) {
	t.Helper()
	is := is.New(t)
	select {
	case <-p.ended:
		t.Fatal("the process has ended")
	default:
	}
	open := 0
	for range samples {
		open = max(open, p.open(t))
		time.Sleep(sampleInterval)
	}
	peak := p.peakMB(t)
	t.Logf("peak %d MiB of %d, %d descriptors of %d", peak, p.memoryMB, open, p.descriptors)
	is.True(peak <= p.memoryMB)    // peak of its resident memory
	is.True(open <= p.descriptors) // open file descriptors
}

// peakMB returns the peak of the process's resident memory, in MiB, rounded up.
func (p process) peakMB(t *testing.T) int {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.id))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.Fields(value)[0])
			if err != nil {
				t.Fatal(err)
			}
			return (kb + 1023) / 1024
		}
	}
	t.Fatal("no VmHWM")
	return 0
}

// open returns the number of the process's open file descriptors.
func (p process) open(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.id))
	if err != nil {
		t.Fatal(err)
	}
	return len(entries)
}
