#!/usr/bin/env bash
# 0: the rule held, 1: it was broken, 2: the case could not run. TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 5 110 review/bin/standin hang review/1
rc=$?
[ $rc -le 1 ] && exit $rc
exit 2
