#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and up. The build of deploy/balancer.toml has to come first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-standin-2 ./review/standin-2
