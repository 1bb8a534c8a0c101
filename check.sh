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
# Packages that play whole fleets of processes in real time come last, two at a time: beside those that use all cores they
# starve, and members that get no processor time are taken for dead.
realtime='masthill/cmd/masthill masthill/cmd/masthill-lab masthill/lab/rig masthill/lab/scale masthill/lab/wave'
failed=0
go test -race -count=1 $(go list ./... | grep -vxF "$(tr ' ' '\n' <<<"$realtime")") || failed=1
go test -race -count=1 -p 2 $realtime || failed=1
exit $failed
