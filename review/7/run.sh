#!/usr/bin/env bash
# A set-up is reset under its answer and plays elsewhere; later its director is killed: is the session handed over?
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
exec bash "$(dirname "$0")/../standin2/play.sh" handover 7
