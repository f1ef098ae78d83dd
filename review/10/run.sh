#!/usr/bin/env bash
# Runs the case lostanswer of review/standins-2; claim.txt says what it shows.
set -eu
cd "$(dirname "$0")/../.."
if [ ! -x target/review-2/standins ] || [ ! -x target/hemlockport ]; then
	echo 'run the build line of deploy/system.toml and review/build-2.sh first' >&2
	exit 2
fi
exec target/review-2/standins lostanswer review/10/record.txt
