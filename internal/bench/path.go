package bench

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"chestnutgauge/internal/bench/path"
	"chestnutgauge/internal/bench/report"
	"chestnutgauge/internal/settings"
	"chestnutgauge/internal/standin"
)

// pathModels is the number of models requested. The example's engines have memory
// for all of them without an eviction.
const pathModels = 30

// pathWarm is the number of warm requests to each model.
const pathWarm = 10

func pathCommand() *cobra.Command {
	var callers, platform, standinFile string
	cmd := &cobra.Command{
		Use:   "path",
		Short: "overhead in the time to the first token, cold and warm (needs EXAMPLE=agency make up)",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			engines, err := firstTokens(standinFile)
			if err != nil {
				return err
			}
			s := path.Settings{Callers: callers, Platform: platform, Warm: pathWarm, Engines: engines}
			for i := range pathModels {
				s.Models = append(s.Models, fmt.Sprintf("collection-%02d", i+1))
			}
			table, err := path.Run(cmd.Context(), s)
			if err != nil {
				return err
			}
			return publish(cmd, report.Report{
				Name:    "path",
				Command: "make bench",
				Notes: []string{
					"Processes of examples/agency on loopback, sequential requests. The overhead is the time from sending the request to its first token, minus the duration of the engine's load and the engine's time to the first token.",
				},
				Tables: []report.Table{table},
			})
		},
	}
	cmd.Flags().StringVar(&callers, "callers", "127.0.0.1:8080", "address of a router")
	cmd.Flags().StringVar(&platform, "platform", "127.0.0.1:8070", "address of the stand-in")
	cmd.Flags().StringVar(&standinFile, "standin", ".run/standin.toml", "settings of the stand-in")
	return cmd
}

// firstTokens returns each engine's time to the first token, from the stand-in's
// settings.
func firstTokens(file string) (map[string]time.Duration, error) {
	s := standin.Defaults()
	if err := settings.Load(file, &s); err != nil {
		return nil, err
	}
	out := map[string]time.Duration{}
	for _, engine := range s.Engines {
		token := time.Duration(float64(time.Second) / engine.TokensPerSecond)
		out[engine.Name] = engine.FirstToken.Std() + token
	}
	return out, nil
}
