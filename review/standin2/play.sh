#!/usr/bin/env bash
# Plays a case: play.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/headmill ] || [ ! -x bin/standin2 ]; then
	echo "build first: the line build of deploy/balancer.toml, then review/build-2.sh" >&2
	exit 2
fi
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
bin/standin2 "$1" . "review/$2/record.txt" &
trap 'kill "$!" 2>/dev/null' TERM INT # it ends the director first
trap 'rm -rf "$TMPDIR"' EXIT
wait "$!"
status=$?
wait
[ "$status" -le 2 ] || status=2
exit "$status"
