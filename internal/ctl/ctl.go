// Package ctl implements chestnutctl, the operators' command line. It uses only
// the generated client of the operators' API.
package ctl

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/types/known/timestamppb"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/version"
)

// client contains the values of the global flags.
type client struct {
	addresses string
	config    string
	output    string
	timeout   time.Duration
}

// Command returns the root command.
func Command() *cobra.Command {
	c := &client{}
	root := &cobra.Command{
		Use:           "chestnutctl",
		Version:       version.Text(),
		Short:         "operates chestnutgauge",
		Long:          "Operates chestnutgauge.\n\n" + exitCodesHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
		Example:       "  chestnutctl apply showroom.toml --dry-run\n  chestnutctl status\n  chestnutctl timeline --model assistant",
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if c.output != outputTable && c.output != outputJSON {
				return usageError{fmt.Errorf("--output must be %s or %s", outputTable, outputJSON)}
			}
			return nil
		},
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	flags := root.PersistentFlags()
	flags.StringVar(&c.addresses, "admins", "", "addresses of admins, comma-separated (else $"+addressesVariable+", else the settings, else "+defaultAddress+")")
	flags.StringVar(&c.config, "config", "", "settings file, TOML (else $"+settingsVariable+")")
	flags.StringVarP(&c.output, "output", "o", outputTable, "table or json")
	flags.DurationVar(&c.timeout, "timeout", 30*time.Second, "limit of the whole command")
	root.AddCommand(c.apply(), c.get(), c.list(), c.status(), c.wait(), c.drain(), c.timeline(), c.story(), c.explain())
	return root
}

func (c *client) get() *cobra.Command {
	return &cobra.Command{
		Use:               "get NAME",
		Short:             "show a deployment",
		ValidArgsFunction: c.completeDeployments,
		Args:              exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.do(cmd, func(ctx context.Context, operators pb.OperatorsClient) error {
				deployment, err := operators.GetDeployment(ctx, &pb.GetDeploymentRequest{Name: args[0]})
				if err != nil {
					return err
				}
				return printJSON(cmd, deployment)
			})
		},
	}
}

func (c *client) list() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "list deployments",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.do(cmd, func(ctx context.Context, operators pb.OperatorsClient) error {
				all, err := listDeployments(ctx, operators)
				if err != nil {
					return err
				}
				if c.output == outputJSON {
					return printJSON(cmd, &pb.ListDeploymentsResponse{Deployments: all})
				}
				return printList(cmd, all)
			})
		},
	}
}

// listDeployments reads all pages of the list of deployments.
func listDeployments(ctx context.Context, operators pb.OperatorsClient) ([]*pb.Deployment, error) {
	var out []*pb.Deployment
	token := ""
	for {
		page, err := operators.ListDeployments(ctx, &pb.ListDeploymentsRequest{PageToken: token})
		if err != nil {
			return nil, err
		}
		out = append(out, page.GetDeployments()...)
		if token = page.GetNextPageToken(); token == "" {
			return out, nil
		}
	}
}

func (c *client) status() *cobra.Command {
	req := &pb.GetStatusRequest{}
	cmd := &cobra.Command{
		Use:   "status",
		Short: "show nodes, endpoints and models",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.do(cmd, func(ctx context.Context, operators pb.OperatorsClient) error {
				st, err := operators.GetStatus(ctx, req)
				if err != nil {
					return err
				}
				if c.output == outputJSON {
					return printJSON(cmd, st)
				}
				return printStatus(cmd, st)
			})
		},
	}
	cmd.Flags().StringVar(&req.Deployment, "deployment", "", "only this deployment")
	return cmd
}

func (c *client) drain() *cobra.Command {
	var undo bool
	cmd := &cobra.Command{
		Use:               "drain ENDPOINT",
		Short:             "take an endpoint out of use",
		ValidArgsFunction: c.completeEndpoints,
		Args:              exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			req := &pb.DrainEndpointRequest{Endpoint: args[0], Drained: !undo, OperationId: uuid.NewString()}
			return c.do(cmd, func(ctx context.Context, operators pb.OperatorsClient) error {
				resp, err := operators.DrainEndpoint(ctx, req)
				if err != nil {
					return err
				}
				if c.output == outputJSON {
					return printJSON(cmd, resp)
				}
				_, err = fmt.Fprintf(cmd.OutOrStdout(), "version %d\n", resp.GetVersion())
				return err
			})
		},
	}
	cmd.Flags().BoolVar(&undo, "undo", false, "put it back to use")
	return cmd
}

func (c *client) timeline() *cobra.Command {
	req := &pb.GetTimelineRequest{}
	var since time.Duration
	cmd := &cobra.Command{
		Use:   "timeline",
		Short: "show events of all processes in one order",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.do(cmd, func(ctx context.Context, operators pb.OperatorsClient) error {
				if since > 0 {
					req.Start = timestamppb.New(time.Now().Add(-since))
				}
				resp, err := operators.GetTimeline(ctx, req)
				if err != nil {
					return err
				}
				if c.output == outputJSON {
					return printJSON(cmd, resp)
				}
				return printTimeline(cmd, resp)
			})
		},
	}
	cmd.Flags().StringVar(&req.RequestId, "request", "", "only this request")
	cmd.Flags().StringVar(&req.Model, "model", "", "only this model")
	cmd.Flags().StringVar(&req.Endpoint, "endpoint", "", "only this endpoint")
	cmd.Flags().DurationVar(&since, "since", 0, "only events of this last span of time, as in 10m")
	cmd.Flags().Int32Var(&req.Limit, "events", 0, "most events to show")
	return cmd
}
