#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. The program starts pimento-tier with the command of the deploy file and ends it;
# the stand-ins are threads of the program.
cd "$(dirname "$0")/../.." || exit 2
case=review/5
program=target/review/case-5
if [ ! -x "$program" ] || [ ! -x target/pimento-tier ]; then
    echo "run the build of deploy/system.toml and review/build.sh first"
    exit 2
fi
folder=$(mktemp -d) || exit 2
timeout -k 2 110 "$program" "$folder" "$case/record.txt"
code=$?
rm -rf "$folder"
[ "$code" -le 1 ] || code=2
echo "case 5: exit $code:$(tail -n 1 "$case/record.txt")"
exit "$code"
