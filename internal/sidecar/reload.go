package sidecar

import (
	"reflect"

	"go.uber.org/zap"
)

// reloadable are the fields of Settings that a running node takes over. The
// others name what is bound or known to peers, and need a restart.
var reloadable = map[string]bool{
	"StoreAddress": true, "DrainBound": true, "Grace": true, "Retries": true, "ValueBytes": true, "Rollout": true,
}

// Reload takes in newer settings and logs what has changed. What a running node
// cannot take over stays as it was and is named.
func (s *Sidecar) Reload(next Settings) {
	current := *s.settings.Load()
	changed, needRestart := applyReloadable(&current, &next)
	if len(changed) > 0 {
		s.settings.Store(&current)
	}
	s.logger.Info("settings reloaded", zap.Strings("changed", changed), zap.Strings("needRestart", needRestart))
}

// applyReloadable copies the reloadable fields that differ into held and returns their
// names, and those of the others that differ.
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
