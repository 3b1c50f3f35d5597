#!/usr/bin/env bash
# The workers of a model service are replaced by those of a later version while streams run. Callers
# whose streams break off take them up again. TROUBLE=0: no release.
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/daisyshed ] && [ -x target/rig2 ] || { echo "build first: the deploy file's build and review/build-2.sh" >&2; exit 2; }
timeout --kill-after=5 110 target/rig2 joined review/6/record.txt "${TROUBLE:-1}"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
