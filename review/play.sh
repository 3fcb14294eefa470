#!/bin/sh
# Plays the case of the folder that is named: exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/.." || exit 2
.venv/bin/python -B "review/$1/play.py" &
trap 'kill $!' TERM INT
wait $!
case $? in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
