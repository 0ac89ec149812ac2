package daemoncli

import (
	"bytes"
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/logging"
	"github.com/agatestep/agatestep/internal/settings"
)

// settingsPollInterval is the time between two reads of the settings file, which may
// change without a signal.
const settingsPollInterval = time.Second

// settingsFile is the settings file with its content when it was last read.
type settingsFile struct {
	path    string
	content []byte
}

// watch reloads the settings file on SIGHUP and whenever it has changed, until ctx ends. A
// file with mistakes leaves the settings unchanged. While the process stops, SIGHUP has no
// effect.
func (f *settingsFile) watch(ctx context.Context, hangup <-chan os.Signal, logger *zap.Logger, p runner) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			ignoreHangups(hangup, logger)
			return
		case <-hangup:
			f.reload(true, logger, p)
		case <-ticker.C:
			f.reload(false, logger, p)
		}
	}
}

// ignoreHangups logs the signals that come while the process stops. It does not return.
func ignoreHangups(hangup <-chan os.Signal, logger *zap.Logger) {
	for range hangup {
		logger.Info("settings not reloaded on SIGHUP: the process is stopping")
	}
}

// reload applies the settings file if it has changed or a signal came.
func (f *settingsFile) reload(signalled bool, logger *zap.Logger, p runner) {
	content, err := os.ReadFile(f.path)
	if err != nil {
		logger.Warn("settings file not read; the settings stay as they are", logging.Error(err))
		return
	}
	changed := !bytes.Equal(content, f.content)
	if !changed && !signalled {
		return
	}
	f.content = content
	s, err := settings.LoadContent(f.path, content)
	if err != nil {
		logger.Error("settings file has mistakes; the settings stay as they are", logging.Error(err))
		return
	}
	logger.Info("settings reloaded", zap.Bool("signalled", signalled), zap.Bool("changed", changed))
	p.Reload(s)
}
