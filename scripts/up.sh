#!/usr/bin/env bash
# Starts the processes of an example (EXAMPLE, default demo) and applies its
# deployment.
source "$(dirname "$0")/lib.sh"
export PORT_OFFSET=$OFFSET
mkdir -p "$RUN"
if compgen -G "$RUN/*.pid" >/dev/null; then
  echo "already up: run make down first" >&2
  exit 1
fi
rm -f "$RUN"/*.toml "$RUN"/*.log
for file in "$ROOT/examples/$EXAMPLE"/*.toml; do
  settings "$file" >"$RUN/$(basename "$file")"
done
start standin chestnut-standin
await "http://127.0.0.1:$((8070 + OFFSET))/membership"
for file in "$RUN"/admin-*.toml "$RUN"/controller-*.toml "$RUN"/router-*.toml; do
  name=$(basename "$file" .toml)
  start "$name" "chestnut-${name%-*}"
done
await "http://127.0.0.1:$((8160 + OFFSET))/readyz"
"$BIN/chestnutctl" apply "$RUN/deployment.toml"
for file in "$RUN"/router-*.toml; do
  listen=$(awk '/^\[callers\]/ {f=1} f && /^listen/ {gsub(/"/, "", $3); print $3; exit}' "$file")
  await "http://$listen/readyz"
  echo "callers: http://$listen"
done
echo "operators: $CHESTNUT_ADMINS"
