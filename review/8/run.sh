#!/usr/bin/env bash
# Plays the case of this folder; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/review-2 ] && [ -x target/release/woadstage ] || exit 2
exec target/release/review-2 case left review/8
