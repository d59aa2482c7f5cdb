#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0
# the disruption is left out. Run after the build of the deploy file and review/build.sh.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
exec java -Xmx256m -cp target/review StaleOwner end "$folder/record.txt"
