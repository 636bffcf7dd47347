package ctl

import (
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"chestnutgauge/internal/requestlog"
)

// story prints the history of one request from log lines. It needs no admin.
func (c *client) story() *cobra.Command {
	return &cobra.Command{
		Use:     "story REQUEST [FILE...]",
		Short:   "tell from log lines what happened to a request",
		Long:    "Reads log lines of nodes from files, or from standard input, and prints those that tell of a request: its own, and what was decided about its model and endpoints meanwhile.",
		Example: "  chestnutctl story 9c41d07be2a35f68 node-1.log node-2.log",
		Args:    usageArgs(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			entries, err := readLogs(cmd.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			found := requestlog.Select(entries, args[0])
			if len(found) == 0 {
				return eris.Errorf("no log line names request %s", args[0])
			}
			return requestlog.Print(cmd.OutOrStdout(), found)
		},
	}
}

// readLogs reads the files, or in if there are none.
func readLogs(in io.Reader, files []string) ([]requestlog.Entry, error) {
	if len(files) == 0 {
		entries, _, err := requestlog.Read(in)
		return entries, err
	}
	var all []requestlog.Entry
	for _, file := range files {
		entries, err := readLog(file)
		if err != nil {
			return nil, err
		}
		all = append(all, entries...)
	}
	return all, nil
}

func readLog(file string) ([]requestlog.Entry, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, eris.Wrap(err, "logs")
	}
	defer func() { _ = f.Close() }()
	entries, _, err := requestlog.Read(f)
	return entries, err
}
