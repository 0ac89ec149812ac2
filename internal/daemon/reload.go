package daemon

import (
	"reflect"
	"slices"

	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/settings"
)

// noteReload logs what a reload takes over and what needs a restart.
func (p *process) noteReload(s *settings.Settings) {
	old, next := *p.settings, *s
	if !slices.Equal(old.Deployment.Seeds, next.Deployment.Seeds) {
		p.logger.Info("seeds changed", zap.Strings("from", old.Deployment.Seeds), zap.Strings("to", next.Deployment.Seeds))
	}
	old.Deployment.Seeds, next.Deployment.Seeds = nil, nil
	old.Deployment.Form, next.Deployment.Form = false, false // matters at a start only
	if !reflect.DeepEqual(old, next) {
		p.logger.Warn("changed settings other than the seeds take effect at the next start")
	}
}

// Reload implements the reload of settings. All of them need a restart.
func (d *Daemon) Reload(s *settings.Settings) { d.noteReload(s) }

// Reload takes over new seeds.
func (h *EntryHost) Reload(s *settings.Settings) {
	h.noteReload(s)
	h.session.SetSeeds(seedReplicas(s))
}

// Reload takes over new seeds.
func (h *ControlHost) Reload(s *settings.Settings) {
	h.noteReload(s)
	seeds := seedAddresses(s)
	h.seeds.Store(&seeds)
}
