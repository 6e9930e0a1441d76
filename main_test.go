package main_test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// walkThroughLimit only guards against hanging.
const walkThroughLimit = 2 * time.Minute

// TestReadmeWalkThrough runs the commands of the README's walk-through, as written, as separate processes.
func TestReadmeWalkThrough(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("README.md")
	c.Assert(err, qt.IsNil)
	dir := t.TempDir()
	// The walk-through builds here, but leaves its logs and edited document elsewhere.
	for _, name := range []string{"go.mod", "go.sum", "main.go", "platform", "src", "examples"} {
		from, err := filepath.Abs(name)
		c.Assert(err, qt.IsNil)
		c.Assert(os.Symlink(from, filepath.Join(dir, name)), qt.IsNil)
	}
	ctx, cancel := context.WithTimeout(context.Background(), walkThroughLimit)
	defer cancel()
	script := "set -eu\ntrap 'kill $(jobs -p); wait' EXIT\n" + shellBlocks(string(page))
	cmd := exec.CommandContext(ctx, "bash", "-c", script)
	cmd.Dir = dir
	// A script that hangs is ended together with all that it started.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.Cancel = func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }
	cmd.WaitDelay = time.Minute
	out, err := cmd.CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	text := string(out)
	for _, want := range []string{
		"the 2 documents are usable together",
		"GET /diary/today",
		"in force on 3 proxies",
		"diary reads move",
		"takes no new work",
		"leaving",
	} {
		c.Check(text, qt.Contains, want)
	}
}

// shellBlocks returns the commands in a page's sh blocks.
func shellBlocks(page string) string {
	var b strings.Builder
	for i, part := range strings.Split(page, "```") {
		if i%2 == 1 && strings.HasPrefix(part, "sh\n") {
			b.WriteString(strings.TrimPrefix(part, "sh\n"))
		}
	}
	return b.String()
}
