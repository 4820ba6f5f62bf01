#!/bin/sh
# Runs the case of the second review whose number is given, from the root of the repository, and
# ends every process that it started.
number=$1
program=target/review-2/case-$number
if [ ! -x "$program" ] || [ ! -x target/release/edge-node ]; then
    echo "build first: the build command of deploy/balancer.toml, and review/build-2.sh" >&2
    exit 2
fi
# The stand-ins of clients and loan servers are one process with many sockets.
[ "$(ulimit -n)" = unlimited ] || [ "$(ulimit -n)" -ge 4096 ] || ulimit -S -n 4096 2>/dev/null || ulimit -S -n "$(ulimit -H -n)"
work=$(mktemp -d) || exit 2
"$program" "$work" "review/$number/record.txt" &
case_pid=$!
clean_up() {
    if [ -f "$work/pids" ]; then
        while read -r pid; do kill -9 "$pid"; done <"$work/pids" 2>/dev/null
    fi
    rm -rf "$work"
}
trap 'kill -9 "$case_pid" 2>/dev/null; clean_up; exit 2' INT TERM HUP
wait "$case_pid"
status=$?
clean_up
case $status in
0 | 1) exit "$status" ;;
*) exit 2 ;;
esac
