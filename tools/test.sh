#!/usr/bin/env bash
# Runs all tests under the race detector, except those that KNOWN-RED.txt lists. The package that is named runs on one thread.
set -euo pipefail
one_thread=$1
module=$(go list -m)
listed=$(tools/known-red.sh packages)
all=$(go list ./... | sed "s#^$module#.#")
plain=$(grep -vxF -e "$one_thread" ${listed:+-f <(echo "$listed")} <<< "$all")
export RAPID_SEED=1
set -x
# shellcheck disable=SC2086 # a list of packages
go test -race -timeout 5m $plain
for package in $listed; do
	if [ "$package" != "$one_thread" ]; then
		go test -race -timeout 5m -skip "$(tools/known-red.sh skip "$package")" "$package"
	fi
done
GOMAXPROCS=1 go test -race -timeout 15m ${listed:+-skip "$(tools/known-red.sh skip "$one_thread")"} "$one_thread"
