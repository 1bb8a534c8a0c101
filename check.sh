#!/usr/bin/env bash
# Formatting, vet, staticcheck, the deploy file's build and all tests; needs nothing outside the repository, and fails on any unformatted file.
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
  echo "gofmt wants changes in: $unformatted" >&2
  exit 1
fi
go vet ./...
go tool staticcheck ./...
sh -c "$(sed -n 's/^build = "\([^"]*\)".*/\1/p' deploy/balancer.toml)"
go test -race -count=1 ./...
