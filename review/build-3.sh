#!/usr/bin/env bash
# Builds the programs of the third review's cases, with the stand-ins that they contain.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review3/ ./review/11 ./review/12 ./review/13 ./review/14 ./review/slow
