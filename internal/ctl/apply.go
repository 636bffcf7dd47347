package ctl

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/google/uuid"
	"github.com/spf13/cobra"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/deployfile"
)

func (c *client) apply() *cobra.Command {
	var dryRun bool
	var file string
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "create or change a deployment from a TOML or JSON file",
		Args:  usageArgs(cobra.MaximumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			path, err := fileArgument(file, args)
			if err != nil {
				return err
			}
			deployment, err := deployfile.Read(path)
			if err != nil {
				return usageError{err}
			}
			plan := &applyPlan{deployment: deployment, operation: uuid.NewString(), dryRun: dryRun}
			return c.do(cmd, func(ctx context.Context, operators pb.OperatorsClient) error {
				resp, err := plan.run(ctx, cmd, operators, c.output)
				if err != nil || resp == nil {
					return err
				}
				if c.output == outputJSON {
					return printJSON(cmd, resp)
				}
				state := "in the table at"
				if dryRun {
					state = "checked against"
				}
				_, err = fmt.Fprintf(cmd.OutOrStdout(), "deployment %s %s version %d\n", deployment.GetName(), state, resp.GetVersion())
				return err
			})
		},
	}
	cmd.Flags().BoolVar(&dryRun, "dry-run", false, "only print the difference and check it")
	cmd.Flags().StringVarP(&file, "file", "f", "", "the file, in place of the argument")
	return cmd
}

// fileArgument returns the file name given by the flag or by the argument. It is
// an error to give both or none.
func fileArgument(flag string, args []string) (string, error) {
	switch {
	case flag != "" && len(args) == 0:
		return flag, nil
	case flag == "" && len(args) == 1:
		return args[0], nil
	}
	return "", usageError{errors.New("name one file, as an argument or with -f")}
}

// applyPlan is one change of a deployment. A retry at another admin sends the
// same change with the same operation ID, so that it is made at most once.
type applyPlan struct {
	deployment *pb.Deployment
	operation  string
	dryRun     bool
	// current is the deployment that the change is based on, nil if there is
	// none. It is valid once read is set.
	current *pb.Deployment
	read    bool
}

// run makes the change. It returns a nil response if there is nothing to change.
func (p *applyPlan) run(ctx context.Context, cmd *cobra.Command, operators pb.OperatorsClient, output string) (*pb.ChangeResponse, error) {
	if !p.read {
		current, err := operators.GetDeployment(ctx, &pb.GetDeploymentRequest{Name: p.deployment.GetName()})
		if err != nil && status.Code(err) != codes.NotFound {
			return nil, err
		}
		p.current, p.read = current, true
		if err := p.printDifference(cmd, output); err != nil {
			return nil, err
		}
	}
	if p.current == nil || p.current.GetName() == "" {
		return operators.CreateDeployment(ctx, &pb.CreateDeploymentRequest{Deployment: p.deployment, OperationId: p.operation, DryRun: p.dryRun})
	}
	p.deployment.Version = p.current.GetVersion()
	if proto.Equal(p.deployment, p.current) {
		return nil, nil
	}
	return operators.UpdateDeployment(ctx, &pb.UpdateDeploymentRequest{Deployment: p.deployment, OperationId: p.operation, DryRun: p.dryRun})
}

// printDifference prints the difference between the current and the new
// deployment, unless the output is JSON.
func (p *applyPlan) printDifference(cmd *cobra.Command, output string) error {
	if output != outputTable {
		return nil
	}
	lines := difference(lines(p.current), lines(p.deployment))
	if len(lines) == 0 {
		lines = []string{"no difference"}
	}
	_, err := fmt.Fprintln(cmd.OutOrStdout(), strings.Join(lines, "\n"))
	return err
}

// lines returns a deployment without its version as one line per field, prefixed
// with the kind and name of the object.
func lines(deployment *pb.Deployment) []string {
	if deployment == nil {
		return nil
	}
	unversioned := proto.Clone(deployment).(*pb.Deployment)
	unversioned.Version = 0
	var out []string
	add := func(prefix string, message proto.Message) {
		text := prototext.MarshalOptions{Multiline: true, Indent: " "}.Format(message)
		for line := range strings.SplitSeq(strings.TrimSpace(text), "\n") {
			// prototext deliberately varies the white space of its output.
			out = append(out, prefix+strings.Join(strings.Fields(line), " "))
		}
	}
	for _, service := range unversioned.GetServices() {
		add("service "+service.GetName()+": ", service)
	}
	for _, endpoint := range unversioned.GetEndpoints() {
		add("endpoint "+endpoint.GetName()+": ", endpoint)
	}
	for _, model := range unversioned.GetModels() {
		add("model "+model.GetName()+": ", model)
	}
	return out
}

// difference returns the lines that occur on one side only: those of before
// prefixed with a minus sign, then those of after prefixed with a plus sign.
func difference(before, after []string) []string {
	afterCount := map[string]int{}
	for _, line := range after {
		afterCount[line]++
	}
	var out []string
	common := map[string]int{}
	for _, line := range before {
		if afterCount[line] > common[line] {
			common[line]++
			continue
		}
		out = append(out, "- "+line)
	}
	for _, line := range after {
		if common[line] > 0 {
			common[line]--
			continue
		}
		out = append(out, "+ "+line)
	}
	return out
}
