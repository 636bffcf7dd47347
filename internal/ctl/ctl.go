// Package ctl is the operators' command line, on the generated client only.
package ctl

import (
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/deployfile"
)

// addressesVariable names the environment variable with the admins'
// addresses.
const addressesVariable = "CHESTNUT_ADMINS"

// defaultAddress is used when neither flag nor environment names an admin.
const defaultAddress = "127.0.0.1:8090"

// client holds what the commands share.
type client struct {
	addresses string
	timeout   time.Duration
}

// Command returns the root command.
func Command() *cobra.Command {
	c := &client{}
	root := &cobra.Command{
		Use:           "chestnutctl",
		Short:         "operates chestnutgauge",
		SilenceUsage:  true,
		SilenceErrors: true,
		Example:       "  chestnutctl apply showroom.toml\n  chestnutctl status\n  chestnutctl timeline --model assistant",
	}
	root.PersistentFlags().StringVar(&c.addresses, "admins", "", "addresses of admins, comma-separated (default $"+addressesVariable+", else "+defaultAddress+")")
	root.PersistentFlags().DurationVar(&c.timeout, "timeout", 30*time.Second, "limit of the whole command")
	root.AddCommand(c.apply(), c.get(), c.list(), c.status(), c.wait(), c.drain(), c.timeline())
	return root
}

func (c *client) operators() (pb.OperatorsClient, func(), error) {
	address := c.addresses
	if address == "" {
		address = os.Getenv(addressesVariable)
	}
	if address == "" {
		address = defaultAddress
	}
	first, _, _ := strings.Cut(address, ",")
	conn, err := grpc.NewClient("passthrough:///"+first, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, nil, err
	}
	return pb.NewOperatorsClient(conn), func() { _ = conn.Close() }, nil
}

// do runs a command against an admin.
func (c *client) do(cmd *cobra.Command, call func(ctx context.Context, operators pb.OperatorsClient) error) error {
	operators, closeConn, err := c.operators()
	if err != nil {
		return err
	}
	defer closeConn()
	ctx, cancel := context.WithTimeout(cmd.Context(), c.timeout)
	defer cancel()
	return call(ctx, operators)
}

func (c *client) apply() *cobra.Command {
	return &cobra.Command{
		Use:   "apply FILE",
		Short: "create or change a deployment",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			deployment, err := deployfile.Read(args[0])
			if err != nil {
				return err
			}
			return c.do(cmd, func(ctx context.Context, operators pb.OperatorsClient) error {
				resp, err := applyDeployment(ctx, operators, deployment)
				if err != nil {
					return err
				}
				_, err = fmt.Fprintf(cmd.OutOrStdout(), "deployment %s at version %d\n", deployment.GetName(), resp.GetVersion())
				return err
			})
		},
	}
}

func applyDeployment(ctx context.Context, operators pb.OperatorsClient, deployment *pb.Deployment) (*pb.ChangeResponse, error) {
	current, err := operators.GetDeployment(ctx, &pb.GetDeploymentRequest{Name: deployment.GetName()})
	if status.Code(err) == codes.NotFound {
		return operators.CreateDeployment(ctx, &pb.CreateDeploymentRequest{Deployment: deployment, OperationId: uuid.NewString()})
	}
	if err != nil {
		return nil, err
	}
	deployment.Version = current.GetVersion()
	return operators.UpdateDeployment(ctx, &pb.UpdateDeploymentRequest{Deployment: deployment, OperationId: uuid.NewString()})
}

func (c *client) get() *cobra.Command {
	return &cobra.Command{
		Use:   "get NAME",
		Short: "show a deployment",
		Args:  cobra.ExactArgs(1),
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
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.do(cmd, func(ctx context.Context, operators pb.OperatorsClient) error {
				table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
				fmt.Fprintln(table, "NAME\tVERSION\tMODELS\tENDPOINTS")
				token := ""
				for {
					page, err := operators.ListDeployments(ctx, &pb.ListDeploymentsRequest{PageToken: token})
					if err != nil {
						return err
					}
					for _, d := range page.GetDeployments() {
						fmt.Fprintf(table, "%s\t%d\t%d\t%d\n", d.GetName(), d.GetVersion(), len(d.GetModels()), len(d.GetEndpoints()))
					}
					if token = page.GetNextPageToken(); token == "" {
						return table.Flush()
					}
				}
			})
		},
	}
}

func (c *client) status() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "show nodes, endpoints and models",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.do(cmd, func(ctx context.Context, operators pb.OperatorsClient) error {
				st, err := operators.GetStatus(ctx, &pb.GetStatusRequest{})
				if err != nil {
					return err
				}
				return printStatus(cmd, st)
			})
		},
	}
}

func (c *client) wait() *cobra.Command {
	var limit time.Duration
	cmd := &cobra.Command{
		Use:   "wait VERSION",
		Short: "wait until a version is in force everywhere",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var version int64
			if _, err := fmt.Sscan(args[0], &version); err != nil {
				return fmt.Errorf("VERSION: %w", err)
			}
			return c.do(cmd, func(ctx context.Context, operators pb.OperatorsClient) error {
				resp, err := operators.WaitInForce(ctx, &pb.WaitInForceRequest{Version: version, Timeout: durationpb.New(limit)})
				if err != nil {
					return err
				}
				if !resp.GetInForce() {
					return fmt.Errorf("version %d is not in force at %d nodes", version, len(resp.GetMissing()))
				}
				_, err = fmt.Fprintf(cmd.OutOrStdout(), "version %d is in force\n", version)
				return err
			})
		},
	}
	cmd.Flags().DurationVar(&limit, "limit", 10*time.Second, "how long to wait")
	return cmd
}

func (c *client) drain() *cobra.Command {
	var undo bool
	cmd := &cobra.Command{
		Use:   "drain ENDPOINT",
		Short: "take an endpoint out of use",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.do(cmd, func(ctx context.Context, operators pb.OperatorsClient) error {
				resp, err := operators.DrainEndpoint(ctx, &pb.DrainEndpointRequest{Endpoint: args[0], Drained: !undo, OperationId: uuid.NewString()})
				if err != nil {
					return err
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
	cmd := &cobra.Command{
		Use:   "timeline",
		Short: "show events of all processes in one order",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.do(cmd, func(ctx context.Context, operators pb.OperatorsClient) error {
				resp, err := operators.GetTimeline(ctx, req)
				if err != nil {
					return err
				}
				return printTimeline(cmd, resp)
			})
		},
	}
	cmd.Flags().StringVar(&req.RequestId, "request", "", "only this request")
	cmd.Flags().StringVar(&req.Model, "model", "", "only this model")
	cmd.Flags().StringVar(&req.Endpoint, "endpoint", "", "only this endpoint")
	cmd.Flags().Int32Var(&req.Limit, "events", 0, "most events to show")
	return cmd
}
