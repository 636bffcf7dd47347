package ctl

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	pb "chestnutgauge/api/chestnutgauge/v1"
	"chestnutgauge/internal/settings"
)

// Sources of the addresses of admins besides the flag: environment variables and
// the default.
const (
	addressesVariable = "CHESTNUT_ADMINS"
	settingsVariable  = "CHESTNUTCTL_CONFIG"
	defaultAddress    = "127.0.0.1:8090"
)

// Settings are the settings of chestnutctl.
type Settings struct {
	// Admins are the host:port addresses of admins, in the order in which they
	// are tried.
	Admins []string `toml:"admins"`
}

// Checks implements settings.Validator.
func (s *Settings) Checks() []settings.Check {
	var checks []settings.Check
	for i, address := range s.Admins {
		checks = append(checks, settings.Address(fmt.Sprintf("admins[%d]", i), address))
	}
	return checks
}

// admins returns the addresses of admins from the first source that is set: the
// flag, the environment, the settings, the default.
func (c *client) admins() ([]string, error) {
	if list := cmp.Or(c.addresses, os.Getenv(addressesVariable)); list != "" {
		return strings.Split(list, ","), nil
	}
	file := cmp.Or(c.config, os.Getenv(settingsVariable))
	if file == "" {
		return []string{defaultAddress}, nil
	}
	s := Settings{}
	if err := settings.Load(file, &s); err != nil {
		return nil, usageError{err}
	}
	if len(s.Admins) == 0 {
		return []string{defaultAddress}, nil
	}
	return s.Admins, nil
}

// do runs call against the admins in turn until one is available. Since call may
// run several times, it must use the same operation ID each time.
func (c *client) do(cmd *cobra.Command, call func(ctx context.Context, operators pb.OperatorsClient) error) error {
	return c.doFor(cmd, 0, call)
}

// doFor is do for a call that may take at least minTime.
func (c *client) doFor(cmd *cobra.Command, minTime time.Duration, call func(ctx context.Context, operators pb.OperatorsClient) error) error {
	addresses, err := c.admins()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), c.timeout)
	defer cancel()
	unavailable := &unavailableError{}
	for i, address := range addresses {
		// Each admin gets an equal share of the remaining time, or minTime.
		deadline, _ := ctx.Deadline()
		share := max(minTime, time.Until(deadline)/time.Duration(len(addresses)-i))
		err := callAdmin(ctx, address, share, call)
		if !isUnavailable(err) {
			return err
		}
		unavailable.attempts = append(unavailable.attempts, attempt{address, err})
		if i+1 < len(addresses) {
			fmt.Fprintf(cmd.ErrOrStderr(), "admin %s is away (%s), trying %s\n", address, status.Convert(err).Message(), addresses[i+1])
		}
	}
	return unavailable
}

// callAdmin runs call against one admin within limit.
func callAdmin(ctx context.Context, address string, limit time.Duration, call func(ctx context.Context, operators pb.OperatorsClient) error) error {
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return call(ctx, pb.NewOperatorsClient(conn))
}

// isUnavailable reports whether an admin did not respond or can't reach the
// table, so that the call should be retried at another admin.
func isUnavailable(err error) bool {
	code := status.Code(err)
	return err != nil && (code == codes.Unavailable || code == codes.DeadlineExceeded || errors.Is(err, context.DeadlineExceeded))
}
