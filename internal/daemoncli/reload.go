package daemoncli

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/logging"
	"github.com/agatestep/agatestep/internal/settings"
)

// settingsPollInterval is the time between two reads of the settings file, which may
// change without a signal.
const settingsPollInterval = time.Second

// watchSettings reloads the settings file on SIGHUP and whenever it has changed, until
// ctx ends. A file with mistakes leaves the settings unchanged.
func watchSettings(ctx context.Context, path string, logger *zap.Logger, p runner) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastContent, err := os.ReadFile(path)
	if err != nil {
		logger.Warn("settings file not read", logging.Error(err))
	}
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			signalled = true
		case <-ticker.C:
		}
		content, err := os.ReadFile(path)
		switch {
		case err != nil:
			logger.Warn("settings file not read; the settings stay as they are", logging.Error(err))
			continue
		case bytes.Equal(content, lastContent) && !signalled:
			continue
		}
		changed := !bytes.Equal(content, lastContent)
		lastContent = content
		s, err := settings.Load(path)
		if err != nil {
			logger.Error("settings file has mistakes; the settings stay as they are", logging.Error(err))
			continue
		}
		logger.Info("settings reloaded", zap.Bool("signalled", signalled), zap.Bool("changed", changed))
		p.Reload(s)
	}
}
