#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, and of review/once. Run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-2/ ./review/rig2 ./review/rig3 ./review/once/split ./review/once/ends
go build -ldflags=-linkmode=external -o target/review-2/case-9 ./review/9
