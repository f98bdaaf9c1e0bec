#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
case=target/review-2/bin/review_case_8
[ -x "$case" ] && [ -x target/build/bin/turmerichead ] || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
# All processes that the case has started end with it.
timeout -k 2 115 "$case" "$PWD/target/review-2/run" review/8/record.txt
status=$?
[ $status -le 2 ] || status=2
exit $status
