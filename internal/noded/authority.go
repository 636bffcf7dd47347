package noded

import (
	"time"

	"chestnutgauge/platform"
)

// keyAuthority accepts keys while the configuration was confirmed recently enough by the
// settings. It implements relay.Authority.
type keyAuthority struct {
	settings     func() *platform.Settings
	confirmedAge func() (time.Duration, bool)
}

// Current implements relay.Authority.
func (a keyAuthority) Current() bool {
	limit, limited := a.settings().MaxConfirmationAge()
	if !limited {
		return true
	}
	age, known := a.confirmedAge()
	return known && age <= limit
}
