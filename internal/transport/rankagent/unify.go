package rankagent

import (
	"context"
	"time"

	"bluebellcrank/internal/coordination/placement"
	"bluebellcrank/internal/state/event"
)

// unifyMaps changes all ranks to one map if they use different ones, and reports whether
// it did. No change leaves a group like that; if anything else does, tokens go to ranks
// that do not hold their expert until the maps are the same again.
func (l *leader) unifyMaps(ctx context.Context, now time.Time) bool {
	held := l.mixedLayout
	if held == nil || !l.isUnarmed() || !l.usedSteps.AllowsChange(l.currentStep()) {
		return false
	}
	next, ok := placement.Complete(held, l.profile.Experts, l.profile.ExpertSlots, l.profile.MaxLoadsPerSet)
	event.MapsDiffer.Log(l.agent.log, "group", l.self.Group, "epoch", l.epoch, "versions", l.versions, "can-be-unified", ok)
	if !ok {
		return false
	}
	// Fences carry the new layout as well: the experts that the ranks hold are no map.
	l.layout = next
	if !l.changeMap(ctx, next, maxLoadsPerRank(held, next), now) {
		l.layout = nil
	}
	return true
}
