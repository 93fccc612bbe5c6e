#!/bin/sh
# Runs one case: run-case.sh N. Exit status 0: the rule held; 1: it was broken; 2: the case could not run.
cd "$(dirname "$0")/.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
if [ -z "$run" ] || [ ! -x bin/pipitring ] || [ ! -x review/bin/stand ]; then
	echo "build with the command of deploy/balancer.toml and then with review/build.sh"
	exit 2
fi
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
timeout -k 2 110 review/bin/stand "$1" "$run" "review/$1/record.txt"
case $? in
0) exit 0 ;;
1) exit 1 ;;
*) exit 2 ;;
esac
