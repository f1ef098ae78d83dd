#!/usr/bin/env bash
# Plays the case of claim.txt. With TROUBLE=0 the desired state does not change.
cd "$(dirname "$0")" || exit 2
exec ../standins/bin/standins lifted-cap .
