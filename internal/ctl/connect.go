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

// Where the addresses of admins come from, besides the flag.
const (
	addressesVariable = "CHESTNUT_ADMINS"
	settingsVariable  = "CHESTNUTCTL_CONFIG"
	defaultAddress    = "127.0.0.1:8090"
)

// Settings of chestnutctl.
type Settings struct {
	// Admins are the host:port of admins, tried in their order.
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

// admins returns the addresses: of the flag, else of the environment, else of
// the settings, else the default.
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

// do runs a command against the first admin that answers. call is made again
// at the next one if an admin is away, so a change in it must keep its
// operation id.
func (c *client) do(cmd *cobra.Command, call func(ctx context.Context, operators pb.OperatorsClient) error) error {
	addresses, err := c.admins()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), c.timeout)
	defer cancel()
	away := &awayError{}
	for i, address := range addresses {
		// Each admin gets an equal share of the time that is left.
		deadline, _ := ctx.Deadline()
		share := time.Until(deadline) / time.Duration(len(addresses)-i)
		err := at(ctx, address, share, call)
		if !isAway(err) {
			return err
		}
		away.tries = append(away.tries, try{address, err})
		if i+1 < len(addresses) {
			fmt.Fprintf(cmd.ErrOrStderr(), "admin %s is away (%s), trying %s\n", address, status.Convert(err).Message(), addresses[i+1])
		}
	}
	return away
}

// at runs a command against one admin.
func at(ctx context.Context, address string, limit time.Duration, call func(ctx context.Context, operators pb.OperatorsClient) error) error {
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return call(ctx, pb.NewOperatorsClient(conn))
}

// isAway reports whether another admin may do better.
func isAway(err error) bool {
	code := status.Code(err)
	return err != nil && (code == codes.Unavailable || code == codes.DeadlineExceeded || errors.Is(err, context.DeadlineExceeded))
}
