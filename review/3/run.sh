#!/usr/bin/env bash
# Writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it
# couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/build/bin/turmerichead ] && [ -x target/review/case3 ] || exit 2
TROUBLE=${TROUBLE:-1} exec target/review/case3 "${RECORD:-review/3/record.txt}"
