#!/usr/bin/env bash
# Runs all checks of the repository: gofmt, vet, staticcheck, a build linked to
# the C library, and the tests with the race detector. KNOWN-RED.txt lists the
# tests that fail because of a known fault, one line each: "package TestName |
# command and seed | failure seen | issue". Only those may fail; their failures
# are printed.
set -euo pipefail
cd "$(dirname "$0")/.."
export CGO_ENABLED=1
if ! command -v gcc >/dev/null; then
	apt-get update -qq && apt-get install -y -qq gcc libc6-dev
fi

unformatted=$(gofmt -l $(git ls-files '*.go'))
if [ -n "$unformatted" ]; then
	printf 'gofmt: these files need formatting:\n%s\n' "$unformatted"
	exit 1
fi
go vet ./...
go tool staticcheck ./...
mkdir -p bin
go build -tags netcgo -o bin/figring ./cmd/figring
libraries=$(ldd bin/figring)
if ! grep -q 'libc\.so' <<<"$libraries"; then
	echo "bin/figring is not linked to the C library"
	exit 1
fi
go run ./scripts/redtest ./...
