package rollout

// usage tells whether versions other than the one being rolled out are in use.
type usage int

const (
	// othersInUse: a back end of another version is known, or the service has none at all.
	othersInUse usage = iota
	// othersUnknown: none is known, but there may be some that the node does not know yet.
	othersUnknown
	// othersAbsent: there are none.
	othersAbsent
)

// otherVersions returns what is known of the other versions. That none is in use cannot be
// concluded from not knowing any: a node that has just started knows none.
func (t Tally) otherVersions() usage {
	switch {
	case t.Others+t.Absent > 0:
		return othersInUse
	case t.Incomplete:
		return othersUnknown
	case t.Present == 0:
		return othersInUse
	}
	return othersAbsent
}

// OnlyVersion reports whether the version has back ends and no other version is in use.
func (t Tally) OnlyVersion() bool { return t.Present > 0 && t.otherVersions() == othersAbsent }
