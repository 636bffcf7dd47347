#!/usr/bin/env bash
# Builds the stand-ins of all scripts of this folder into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -tags review -o target/review-standin ./review/standin
