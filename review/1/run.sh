#!/bin/bash
# Plays the case of claim.txt and writes record.txt. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
if ! [ -x "$root/review/bin/standin" ] || ! [ -x "$root/bin/pineport" ]; then
	echo "the build of the deploy file and review/build.sh come first" >&2
	exit 2
fi
exec "$root/review/bin/standin" standstill "$root" "$here/record.txt"
