package isolation

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestUpdate checks when isolation begins and ends.
func TestUpdate(t *testing.T) {
	cut := View{StoreUnavailable: true, FailedElsewhere: 2}
	steps := []struct {
		name string
		view View
		want bool
	}{
		{"all responds", View{OwnerFollowed: true, ReachedElsewhere: 3}, false},
		{"store down for all", View{StoreUnavailable: true, ReachedElsewhere: 3}, false},
		{"store down, nothing tried elsewhere", View{StoreUnavailable: true}, false},
		{"endpoints elsewhere fail, store responds", View{FailedElsewhere: 3}, false},
		{"endpoints elsewhere fail, owner followed", View{OwnerFollowed: true, StoreUnavailable: true, FailedElsewhere: 3}, false},
		{"cut off", cut, true},
		{"still, while nothing is tried", View{StoreUnavailable: true}, true},
		{"an endpoint responds", View{StoreUnavailable: true, ReachedElsewhere: 1, FailedElsewhere: 1}, false},
		{"cut off again", cut, true},
		{"the store responds", View{}, false},
		{"cut off a third time", cut, true},
		{"the owner is followed", View{OwnerFollowed: true, StoreUnavailable: true}, false},
	}
	var d Detector
	for _, step := range steps {
		before := d.Isolated()
		isolated, changed := d.Update(step.view)
		require.Equal(t, step.want, isolated, step.name)
		require.Equal(t, step.want != before, changed, step.name)
		require.Equal(t, step.want, d.Isolated(), step.name)
	}
}
