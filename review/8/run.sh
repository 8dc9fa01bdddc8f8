#!/usr/bin/env bash
# Plays the case of this folder; see claim.txt. TROUBLE=0 sends the bodies with a length.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/review-2 ] && [ -x target/release/woadstage ] || exit 2
exec target/release/review-2 case body review/8
