#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python and need only its standard
# library, so this only checks that they compile.
cd "$(dirname "$0")" || exit 2
for file in lab-2/*.py [6-9]/case.py 10/case.py; do
    [ -f "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 2
done
