#!/usr/bin/env bash
# Builds the stand-ins of cases 4 to 8 into target/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin-2 ./review/standin-2
