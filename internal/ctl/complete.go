package ctl

import (
	"context"

	"github.com/spf13/cobra"

	pb "chestnutgauge/api/chestnutgauge/v1"
)

// completeDeployments completes names of deployments.
func (c *client) completeDeployments(cmd *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
	return c.complete(cmd, args, func(d *pb.Deployment) []string { return []string{d.GetName()} })
}

// completeEndpoints completes names of endpoints.
func (c *client) completeEndpoints(cmd *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
	return c.complete(cmd, args, func(d *pb.Deployment) []string {
		var out []string
		for _, endpoint := range d.GetEndpoints() {
			out = append(out, endpoint.GetName())
		}
		return out
	})
}

func (c *client) complete(cmd *cobra.Command, args []string, names func(*pb.Deployment) []string) ([]string, cobra.ShellCompDirective) {
	var out []string
	if len(args) > 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	_ = c.do(cmd, func(ctx context.Context, operators pb.OperatorsClient) error {
		all, err := listDeployments(ctx, operators)
		for _, deployment := range all {
			out = append(out, names(deployment)...)
		}
		return err
	})
	return out, cobra.ShellCompDirectiveNoFileComp
}
