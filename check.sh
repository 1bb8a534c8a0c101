#!/usr/bin/env bash
# Formatting, vet and all tests; needs nothing outside the repository, and fails on any unformatted file.
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
  echo "gofmt wants changes in: $unformatted" >&2
  exit 1
fi
go vet ./...
go test -race -count=1 ./...
