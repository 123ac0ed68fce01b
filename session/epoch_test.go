package session

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestRelationOfAnEndToItsJob guards against an end that counts as that of the newest run
// though its task may have been started again.
func TestRelationOfAnEndToItsJob(t *testing.T) {
	for _, tc := range []struct {
		end, job Epoch
		want     Relation
	}{
		{UnknownEpoch, UnknownEpoch, RelationUnknown},
		{FirstEpoch, UnknownEpoch, RelationUnknown},
		{UnknownEpoch, FirstEpoch, Current},
		{FirstEpoch, FirstEpoch, Current},
		{UnknownEpoch, FirstEpoch + 1, RelationUnknown},
		{FirstEpoch, FirstEpoch + 1, Superseded},
		{FirstEpoch + 1, FirstEpoch + 1, Current},
		{FirstEpoch + 1, FirstEpoch + 2, Superseded},
		{FirstEpoch + 2, FirstEpoch + 1, Current},
	} {
		must.EqOp(t, tc.want, tc.end.Relate(tc.job), must.Sprintf("end of epoch %d, job at epoch %d", tc.end, tc.job))
	}
	must.EqOp(t, FirstEpoch+1, UnknownEpoch.FromStore())
	must.EqOp(t, FirstEpoch, FirstEpoch.FromStore())
}
