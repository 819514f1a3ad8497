#!/usr/bin/env bash
# A media node is lost for 5 s and comes back with a new process: are the viewers of its sessions told?
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
exec bash "$(dirname "$0")/../standin2/play.sh" lostzone 6
