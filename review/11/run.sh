#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. Needs the build of the deploy file and
# review/build-3.sh. With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
record=review/11/record.txt
# What was sent, answered and run; the stand-ins write it as it happens.
: > "$record" || exit 2
[ -f target/review-3/Case11.class ] || exit 2
timeout -k 5 114 java -Xmx1g -cp target/review-3 Case11 "$record"
result=$?
case $result in
  0) exit 0 ;;
  1) grep -q " is broken$" "$record" && exit 1 ;;
esac
exit 2
