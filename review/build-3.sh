#!/usr/bin/env bash
# Builds what the scripts of the third review start: the boxes and the project's own stand-ins, which are commands of the
# same program, and the clients of the cases.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -ldflags=-linkmode=external -o target/pulleyring .
go build -o target/standin-3 ./review/standin-3
