#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10 into target/review-2/. They use Go's standard
# library only. Their sources end in .src so that the checks of the project leave them out.
set -eu
cd "$(dirname "$0")/.."
build=target/review-2/build
rm -rf "$build"
mkdir -p "$build"
for source in review/standins-2/*.src; do
	cp "$source" "$build/$(basename "$source" .src).go"
done
printf 'module review\n\ngo 1.26\n' > "$build/go.mod"
(cd "$build" && GOFLAGS= GOWORK=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o ../standins .)
rm -rf "$build"
