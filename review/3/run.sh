#!/usr/bin/env bash
# Plays the case of claim.txt. With TROUBLE=0 nothing is cut off.
cd "$(dirname "$0")" || exit 2
exec ../standins/bin/standins quota-cut .
