#!/usr/bin/env bash
# Plays the case against the programs of the deploy file: exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-cases ] && [ -x target/anvilcrankd ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
exec target/review-cases stale-evacuation review/4/record.txt target/anvilcrankd --platform
