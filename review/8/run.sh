#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
bin=target/review-2/bin
[ -x "$bin/review_case_8" ] && [ -x target/build/bin/turmerichead ] || exit 2
exec timeout -k 1 119 "$bin/review_case_8" "$PWD/$bin" review/8/record.txt
