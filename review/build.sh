#!/bin/sh
# Builds the stand-ins of the review's scripts into target/. Run it after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin ./review/standin
