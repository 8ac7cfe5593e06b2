package sidecar

import (
	"context"
	"reflect"

	"go.uber.org/zap"
)

// reloadable names the fields of Settings that a running node can change. The others are addresses
// already bound or facts known to peers, and need a restart.
var reloadable = map[string]bool{
	"Service": true, "StoreAddress": true, "DrainBound": true, "Grace": true, "Retries": true, "ValueBytes": true, "Rollout": true,
}

// Reload applies newer settings and logs the names of the changed fields. Fields that a running
// node cannot change keep their values and are logged as needing a restart.
func (s *Sidecar) Reload(next Settings) {
	current := *s.settings.Load()
	changed, needRestart := applyReloadable(&current, &next)
	if len(changed) > 0 {
		s.settings.Store(&current)
		s.applyService(current.Service)
	}
	s.logger.Info("settings reloaded", zap.Strings("changed", changed), zap.Strings("needRestart", needRestart))
}

// applyService applies the service of the settings. A back end of another one is no longer that of the
// node, which then waits for the heartbeats of the next.
func (s *Sidecar) applyService(service string) {
	if s.members.SetService(service) {
		go s.broadcastRecord(context.Background())
	}
	s.setService(s.keeper.Table(), s.members.Own().Endpoint)
}

// applyReloadable copies the reloadable fields that differ from next to current. It returns their
// names and the names of the other fields that differ.
func applyReloadable(current, next *Settings) (changed, needRestart []string) {
	target, source := reflect.ValueOf(current).Elem(), reflect.ValueOf(next).Elem()
	for index := range target.NumField() {
		name := target.Type().Field(index).Name
		switch {
		case reflect.DeepEqual(target.Field(index).Interface(), source.Field(index).Interface()):
		case reloadable[name]:
			target.Field(index).Set(source.Field(index))
			changed = append(changed, name)
		default:
			needRestart = append(needRestart, name)
		}
	}
	return changed, needRestart
}
