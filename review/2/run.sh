#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.."
exec timeout 110 review/bin/stand owner review/2/record.txt
