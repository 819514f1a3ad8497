#!/usr/bin/env bash
# A media node is cut off for 6 s, and a session there is ended by its viewer: are the seats of the title kept?
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
exec bash "$(dirname "$0")/../standin2/play.sh" seats 10
