#!/usr/bin/env bash
# Stops the processes started by up.sh, by their process ids.
source "$(dirname "$0")/lib.sh"
shopt -s nullglob
for name in router controller admin standin; do
  for file in "$RUN/$name"*.pid; do
    kill -TERM "$(cat "$file")" 2>/dev/null || true
  done
done
for file in "$RUN"/*.pid; do
  pid=$(cat "$file")
  for _ in $(seq 100); do
    kill -0 "$pid" 2>/dev/null || break
    sleep 0.1
  done
  if kill -0 "$pid" 2>/dev/null; then
    echo "$(basename "$file" .pid) did not end, killing it" >&2
    kill -KILL "$pid"
  fi
  rm -f "$file"
done
