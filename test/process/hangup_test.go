package process

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const gatewaySettings = `[instance]
name = g1
region = south
datacentre = south-1
[listen]
caller = %s
directory = %s
ready = %s
peer = %s
[peer]
places = south-1:south
[store]
address = %s
`

// Guards against a SIGHUP that ends a process which is still reading its settings: it is kept until they are
// read.
func TestHangupWhileSettingsAreRead(t *testing.T) {
	dp := newDeployment(t, "matcher")
	tests := []struct {
		name     string
		args     []string
		settings string
	}{
		{"daemon", nil, dp.settings(dp.newInstance("s1a", "south", "south-1"))},
		{"gateway", []string{"gateway"}, fmt.Sprintf(gatewaySettings, freeAddress(t), freeAddress(t), freeAddress(t), freeAddress(t), strings.TrimPrefix(dp.address, "http://"))},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			dir := t.TempDir()
			file, whole := filepath.Join(dir, "settings.ini"), filepath.Join(dir, "whole.ini")
			require.NoError(t, os.WriteFile(whole, []byte(tt.settings), 0o600))
			require.NoError(t, syscall.Mkfifo(file, 0o600))
			log := &logBuffer{}
			process := exec.Command(daemonPath, append(tt.args, "--config", file)...)
			process.Stdout, process.Stderr = log, log
			require.NoError(t, process.Start())
			exited := make(chan struct{})
			go func() { _ = process.Wait(); close(exited) }()
			t.Cleanup(func() { _ = process.Process.Kill(); <-exited })
			reading, err := os.OpenFile(file, os.O_WRONLY, 0)
			require.NoError(t, err)
			require.NoError(t, process.Process.Signal(syscall.SIGHUP))
			time.Sleep(200 * time.Millisecond)
			require.NoError(t, os.Rename(whole, file))
			if tt.args == nil {
				_, err = reading.WriteString(tt.settings)
				require.NoError(t, err)
			}
			require.NoError(t, reading.Close())
			require.Eventually(t, func() bool {
				text := log.String()
				return strings.Contains(text, "step=start") && strings.Contains(text, "step=reload cause=signal")
			}, waitTimeout, 20*time.Millisecond, "%s", log)
		})
	}
}
