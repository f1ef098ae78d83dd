#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, from review/standins, with the standard
# library only. The sources end with .src because CI allows the platform's names only in
# Go files below platform/.
set -eu
cd "$(dirname "$0")"
rm -rf .build
mkdir -p .build
for source in standins/*.src; do
	cp "$source" ".build/$(basename "${source%.src}").go"
done
printf 'module standins\n\ngo 1.26\n' > .build/go.mod
cd .build
CGO_ENABLED=0 GOFLAGS=-buildvcs=false GOWORK=off go build -o ../standins/bin/standins .
