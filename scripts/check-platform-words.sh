#!/usr/bin/env bash
# Fails if non-test code outside platform/ contains a header, path or field name
# of the users' platform.
set -euo pipefail
cd "$(dirname "$0")/.."
words='Chestnutgauge-|Server-Leaving|Store-Era|rows-tx|rows-get|rows-feed|blob-put|fencingToken|expectedRevision|trafficSplit|maxAttempts|targetLatencyMs|gapTargetMs|maxConnections|weightsMb|loadTimeS|coldRemainingMs|hostMemoryMb|internalPorts|memoryMb|graceS|CHESTNUTGAUGE_NODE_FILE|/readiness'
if git grep -nE "$words" -- '*.go' ':!platform/' ':!*_test.go'; then
	echo "names of the platform used outside platform/" >&2
	exit 1
fi
