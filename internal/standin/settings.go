package standin

import (
	"fmt"
	"time"

	"chestnutgauge/internal/platform"
	"chestnutgauge/internal/settings"
)

// Settings describe a complete stand-in.
type Settings struct {
	// Listen is the host:port that serves the platform's interfaces, the journal
	// and the faults.
	Listen     string             `toml:"listen"`
	Weights    WeightsSettings    `toml:"weights"`
	Membership MembershipSettings `toml:"membership"`
	Engines    []EngineEntry      `toml:"engines"`
	Services   []ServiceEntry     `toml:"services"`
}

// WeightsSettings describe the weight store.
type WeightsSettings struct {
	FullSpeedLoads    int               `toml:"full_speed_loads"`
	BytesPerSecond    float64           `toml:"bytes_per_second"`
	AdaptersInTransit int               `toml:"adapters_in_transit"`
	AdapterTime       settings.Duration `toml:"adapter_time"`
}

// MembershipSettings describe the membership list.
type MembershipSettings struct {
	Lag settings.Duration `toml:"lag"`
	VMs []VMEntry         `toml:"vms"`
}

// VMEntry is one VM in the membership list.
type VMEntry struct {
	ID         string            `toml:"id"`
	Kind       platform.VMKind   `toml:"kind"`
	Region     string            `toml:"region"`
	DataCentre string            `toml:"data_centre"`
	Processes  map[string]string `toml:"processes"`
}

// EngineEntry describes one engine.
type EngineEntry struct {
	Name            string            `toml:"name"`
	Listen          string            `toml:"listen"`
	MemoryBytes     int64             `toml:"memory_bytes"`
	ChecksFences    bool              `toml:"checks_fences"`
	TokensPerSecond float64           `toml:"tokens_per_second"`
	FirstToken      settings.Duration `toml:"first_token"`
	MaxRunning      int               `toml:"max_running"`
	MaxQueued       int               `toml:"max_queued"`
	ReportLag       settings.Duration `toml:"report_lag"`
	LocalLoad       settings.Duration `toml:"local_load"`
	RestartTime     settings.Duration `toml:"restart_time"`
}

// ServiceEntry describes one instance of a plain service.
type ServiceEntry struct {
	Name   string `toml:"name"`
	Listen string `toml:"listen"`
	// Work is the duration of a call.
	Work settings.Duration `toml:"work"`
}

// Defaults returns the settings used when none are given.
func Defaults() Settings {
	return Settings{
		Weights: WeightsSettings{
			FullSpeedLoads:    4,
			BytesPerSecond:    1e9,
			AdaptersInTransit: 30,
			AdapterTime:       settings.Duration(5 * time.Millisecond),
		},
	}
}

// Checks implements settings.Validator.
func (s *Settings) Checks() []settings.Check {
	checks := []settings.Check{
		settings.Address("listen", s.Listen),
		{Key: "weights.full_speed_loads", OK: s.Weights.FullSpeedLoads > 0, Reason: "must be above 0"},
		{Key: "weights.bytes_per_second", OK: s.Weights.BytesPerSecond > 0, Reason: "must be above 0"},
		{Key: "weights.adapters_in_transit", OK: s.Weights.AdaptersInTransit > 0, Reason: "must be above 0"},
	}
	for i, entry := range s.Engines {
		key := fmt.Sprintf("engines[%d]", i)
		checks = append(checks,
			settings.Check{Key: key + ".name", OK: entry.Name != "", Reason: "must be set"},
			settings.Address(key+".listen", entry.Listen),
			settings.Check{Key: key + ".memory_bytes", OK: entry.MemoryBytes > 0, Reason: "must be above 0"},
			settings.Check{Key: key + ".tokens_per_second", OK: entry.TokensPerSecond > 0, Reason: "must be above 0"},
			settings.Check{Key: key + ".max_running", OK: entry.MaxRunning > 0, Reason: "must be above 0"},
		)
	}
	for i, entry := range s.Services {
		key := fmt.Sprintf("services[%d]", i)
		checks = append(checks,
			settings.Check{Key: key + ".name", OK: entry.Name != "", Reason: "must be set"},
			settings.Address(key+".listen", entry.Listen),
		)
	}
	return checks
}

func (e EngineEntry) settings() EngineSettings {
	return EngineSettings{
		Name:            e.Name,
		MemoryBytes:     e.MemoryBytes,
		ChecksFences:    e.ChecksFences,
		TokensPerSecond: e.TokensPerSecond,
		FirstToken:      e.FirstToken.Std(),
		MaxRunning:      e.MaxRunning,
		MaxQueued:       max(e.MaxQueued, 1),
		ReportLag:       e.ReportLag.Std(),
		LocalLoad:       e.LocalLoad.Std(),
		RestartTime:     e.RestartTime.Std(),
	}
}

func (s *Settings) vms() []platform.VM {
	out := make([]platform.VM, len(s.Membership.VMs))
	for i, entry := range s.Membership.VMs {
		out[i] = platform.VM{
			ID:         entry.ID,
			Kind:       entry.Kind,
			Region:     entry.Region,
			DataCentre: entry.DataCentre,
			State:      platform.VMLive,
			Processes:  entry.Processes,
		}
	}
	return out
}
