#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
export PYTHONPATH=target/deps:.
timeout --kill-after=5 110 python3 review/5/case.py &
case_id=$!
# A signal that ends this script early ends the case, which ends its daemons.
trap 'kill -TERM "$case_id" 2>/dev/null' TERM INT HUP
wait "$case_id"
status=$?
while kill -0 "$case_id" 2>/dev/null; do
  wait "$case_id"
  status=$?
done
case $status in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
