#!/bin/sh
# Runs a case: `case.sh NAME FOLDER` with the name that the harness knows and the folder of the case.
# Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
harness=target/review/release/review-harness
[ -x "$harness" ] && [ -x target/release/chivewheel-edge ] || { echo "not built"; exit 2; }
folder=$(mktemp -d) || exit 2
finish() {
    # The harness ends its processes itself unless it was ended from outside.
    if [ "$ended" != 1 ] && [ -f "$folder/pids" ]; then
        while read -r pid; do kill -KILL "$pid" 2>/dev/null; done < "$folder/pids"
    fi
    rm -rf "$folder"
}
ended=0
trap finish EXIT
trap 'exit 2' INT TERM
timeout 110 "$harness" "$1" "$2/record.txt" "$folder"
status=$?
[ "$status" -le 2 ] && ended=1
[ -z "${KEEP_LOGS:-}" ] || cp "$folder"/*.log "$KEEP_LOGS"
[ "$status" -le 2 ] || status=2
exit "$status"
