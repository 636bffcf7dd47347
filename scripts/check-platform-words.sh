#!/usr/bin/env bash
# Fails if a header, path or field of the users' platform stands outside
# platform/, in code that is not a test.
set -euo pipefail
cd "$(dirname "$0")/.."
words='Chestnutgauge-|rows-tx|rows-get|rows-feed|blob-put|fencingToken|expectedRevision|trafficSplit|maxAttempts|targetLatencyMs|gapTargetMs|maxConnections|weightsMb|loadTimeS|coldRemainingMs|hostMemoryMb|internalPorts|memoryMb|graceS|CHESTNUTGAUGE_NODE_FILE|/readiness'
if git grep -nE "$words" -- '*.go' ':!platform/' ':!*_test.go'; then
	echo "words of the platform stand outside platform/" >&2
	exit 1
fi
