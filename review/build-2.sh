#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. Run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-2/ ./review/rig2 ./review/rig3
go build -ldflags=-linkmode=external -o target/review-2/case-9 ./review/9
