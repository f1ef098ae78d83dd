#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start, beside the program, which
# the build line of deploy/system.toml builds.
set -eu
cd "$(dirname "$0")/.."
go build -o target/ ./review/standins-3
