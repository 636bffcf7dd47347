# Runs one case: CASE is its driver, HERE the folder of the case. Sourced by the scripts of the
# cases.
root=$(cd "$HERE/../.." && pwd)
cd "$root"
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml | head -n 1)
if [ -z "$run" ] || [ ! -x "${run%% *}" ] || [ ! -x target/review-standin ]; then
	echo "not built: run the build line of deploy/system.toml and review/build.sh" >&2
	exit 2
fi
folder=$(mktemp -d)
standin=
end() {
	trap - EXIT INT TERM
	[ -n "$standin" ] && kill -KILL "$standin" 2>/dev/null
	[ -f "$folder/pids" ] && while read -r pid; do
		# Only a process with the command that was started here.
		if [ -r "/proc/$pid/cmdline" ] && tr '\0' ' ' <"/proc/$pid/cmdline" | grep -q "^${run%% *}"; then
			kill -CONT "$pid" 2>/dev/null
			kill -KILL "$pid" 2>/dev/null
		fi
	done <"$folder/pids"
	[ -n "${KEEP:-}" ] || rm -rf "$folder"
}
trap end EXIT
trap 'end; exit 2' INT TERM
CASE=$CASE RECORD="$HERE/record.txt" NODE_RUN="$run" FOLDER="$folder" PIDS="$folder/pids" TROUBLE="${TROUBLE:-1}" target/review-standin &
standin=$!
waited=0
while kill -0 "$standin" 2>/dev/null; do
	if [ "$waited" -ge 1120 ]; then
		echo "took too long" >&2
		exit 2
	fi
	sleep 0.1
	waited=$((waited + 1))
done
wait "$standin"
status=$?
standin=
exit "$status"
