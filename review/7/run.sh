#!/usr/bin/env bash
# Plays the case of claim.txt: exits with 1 if the rule was broken, 0 if it held, 2 if it could not be played.
# TROUBLE=0 plays it without the disruption.
set -u
cd "$(dirname "$0")/../.."
exec target/review-2/probe restarted review/7/record.txt
