#!/usr/bin/env bash
# Runs the demo: a cold and a warm request, a non-idempotent request sent twice,
# and the timeline. Exits with an error if a check fails.
source "$(dirname "$0")/lib.sh"
EXAMPLE=demo bash "$ROOT/scripts/up.sh"
trap 'bash "$ROOT/scripts/down.sh"' EXIT
A="http://127.0.0.1:$((8080 + OFFSET))"
B="http://127.0.0.1:$((8081 + OFFSET))"
PLATFORM="http://127.0.0.1:$((8070 + OFFSET))"

chat() {
  curl -sS --fail-with-body -H 'Content-Type: application/json' "$1/v1/chat/completions" \
    -d '{"model":"assistant","messages":[{"role":"user","content":"Which slots are free on Friday?"}],"max_tokens":12,"stream":'"$2"'}'
}
check() {
  if ! "${@:2}"; then
    echo "FAILED: $1" >&2
    exit 1
  fi
}

echo "== cold request at $A"
cold=$(chat "$A" true)
echo "$cold"
check "the stream ends with [DONE]" grep -q '^data: \[DONE\]$' <<<"$cold"

echo "== warm request at $B"
warm=$(chat "$B" false)
echo "$warm"
check "the response is complete" grep -q '"object":"chat.completion"' <<<"$warm"

echo "== a non-idempotent booking, sent to both routers with the same key"
book() {
  curl -sS --fail-with-body -H 'Idempotency-Key: demo-1' -H 'Content-Type: application/json' \
    "$1/v1/services/booking/confirm" -d '{"slot":"fri-10","buyer":"Nord"}'
}
first=$(book "$A")
second=$(book "$B")
echo "$first"
echo "$second"
check "both responses are equal" test "$first" = "$second"
runs=$(curl -sSf "$PLATFORM/journal" | grep '"kind":"run_start"' | grep -c '"idempotency_key":"demo-1"')
echo "executions of the booking: $runs"
check "exactly one execution" test "$runs" = 1

echo "== timeline of all processes"
timeline=$("$BIN/chestnutctl" timeline)
echo "$timeline"
check "the timeline shows the load" grep -q load_ended <<<"$timeline"
echo "== status"
"$BIN/chestnutctl" status
echo "demo passed"
