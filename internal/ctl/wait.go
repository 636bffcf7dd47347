package ctl

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "chestnutgauge/api/chestnutgauge/v1"
)

// waitResponseTime is the time that an admin may take to respond once the wait
// for a version has ended.
const waitResponseTime = 2 * time.Second

func (c *client) wait() *cobra.Command {
	var limit time.Duration
	cmd := &cobra.Command{
		Use:   "wait VERSION",
		Short: "wait until a version is in force everywhere",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var version int64
			if _, err := fmt.Sscan(args[0], &version); err != nil {
				return usageError{eris.Wrap(err, "VERSION")}
			}
			until := time.Now().Add(limit)
			return c.doFor(cmd, limit+waitResponseTime, func(ctx context.Context, operators pb.OperatorsClient) error {
				resp, err := operators.WaitInForce(ctx, &pb.WaitInForceRequest{Version: version, Timeout: durationpb.New(waitTimeout(ctx, until))})
				if err != nil {
					return err
				}
				if c.output == outputJSON {
					if err := printJSON(cmd, resp); err != nil {
						return err
					}
				}
				if !resp.GetInForce() {
					return notInForceError{version, resp.GetMissing()}
				}
				if c.output == outputJSON {
					return nil
				}
				_, err = fmt.Fprintf(cmd.OutOrStdout(), "version %d is in force\n", version)
				return err
			})
		},
	}
	cmd.Flags().DurationVar(&limit, "limit", 10*time.Second, "how long to wait")
	return cmd
}

// waitTimeout returns how long an admin may wait for a version: until the given
// time, but it must respond before the deadline of ctx.
func waitTimeout(ctx context.Context, until time.Time) time.Duration {
	if deadline, ok := ctx.Deadline(); ok && deadline.Add(-waitResponseTime).Before(until) {
		until = deadline.Add(-waitResponseTime)
	}
	return max(0, time.Until(until))
}
