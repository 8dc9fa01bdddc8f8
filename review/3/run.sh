#!/usr/bin/env bash
# A node is killed after the others were stopped and started in turn.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -um
cd "$(dirname "$0")/../.."
standin=target/review/standin
program=target/release/woadstage
[ -x "$standin" ] && [ -x "$program" ] || exit 2
timeout --kill-after=1 118 "$standin" case resume "$program" review/3/record.txt &
driver=$!
# All processes of the case are in the group of the first one.
trap 'kill -KILL -- -$driver 2>/dev/null' EXIT
trap 'exit 2' INT TERM HUP
wait "$driver"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
