#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15. The build line of the deploy file
# comes before it.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target
go test -c -tags review -o target/review-3 ./review/standin-3
