#!/usr/bin/env bash
# Builds the stand-ins of the cases' scripts, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-rig ./review/rig
