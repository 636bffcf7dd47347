#!/usr/bin/env bash
# Runs the benchmarks and saves their reports in docs/measurements.
source "$(dirname "$0")/lib.sh"
cd "$ROOT"
make --no-print-directory build
"$BIN/chestnut-bench" routing
EXAMPLE=agency bash scripts/up.sh
trap 'bash "$ROOT/scripts/down.sh"' EXIT
"$BIN/chestnut-bench" path --callers "127.0.0.1:$((8080 + OFFSET))" --platform "127.0.0.1:$((8070 + OFFSET))"
"$BIN/chestnut-bench" speed --callers "127.0.0.1:$((8080 + OFFSET))"
"$BIN/chestnut-bench" keepalive
"$BIN/chestnut-bench" coldstart
"$BIN/chestnut-bench" deltas
"$BIN/chestnut-bench" placement
bash "$ROOT/scripts/down.sh"
trap - EXIT
"$BIN/chestnut-bench" claims
"$BIN/chestnut-bench" capacity
"$BIN/chestnut-bench" configuration
