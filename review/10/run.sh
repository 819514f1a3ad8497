#!/usr/bin/env bash
# A media node is cut off for 6 s, and a session there is ended by its viewer: are the seats of the title kept?
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/headmill ] || [ ! -x bin/standin2 ]; then
	echo "build first: the line build of deploy/balancer.toml, then review/build-2.sh" >&2
	exit 2
fi
export TMPDIR
TMPDIR=$(mktemp -d) || exit 2
trap 'rm -rf "$TMPDIR"' EXIT
bin/standin2 seats . review/10/record.txt
