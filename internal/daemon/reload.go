package daemon

import (
	"reflect"
	"slices"

	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/settings"
)

// logReload logs which changed settings a reload applies and which need a restart.
func (p *process) logReload(s *settings.Settings) {
	old, next := *p.settings, *s
	if !slices.Equal(old.Deployment.Seeds, next.Deployment.Seeds) {
		p.logger.Info("seeds changed", zap.Strings("from", old.Deployment.Seeds), zap.Strings("to", next.Deployment.Seeds))
	}
	old.Deployment.Seeds, next.Deployment.Seeds = nil, nil
	old.Deployment.FormGroup, next.Deployment.FormGroup = false, false // used only at the start
	if !reflect.DeepEqual(old, next) {
		p.logger.Warn("changed settings other than the seeds take effect at the next start")
	}
}

// Reload logs that changed settings need a restart. None is applied.
func (d *Daemon) Reload(s *settings.Settings) { d.logReload(s) }

// Reload applies changed seeds. Other changed settings need a restart.
func (h *EntryHost) Reload(s *settings.Settings) {
	h.logReload(s)
	h.session.SetSeeds(seedReplicas(s))
}

// Reload applies changed seeds. Other changed settings need a restart.
func (h *ControlHost) Reload(s *settings.Settings) {
	h.logReload(s)
	seeds := seedAddresses(s)
	h.seeds.Store(&seeds)
}
