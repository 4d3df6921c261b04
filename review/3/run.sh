#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0
# leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/petrelstepd target/review-2; do
  if [ ! -x "$program" ]; then
    echo "$program is not built: see deploy/system.toml and review/build.sh"
    exit 2
  fi
done
target/review-2 -daemon target/petrelstepd -rule DRAIN -record review/3/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
