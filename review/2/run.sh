#!/bin/sh
# See claim.txt. TROUBLE=0 plays it without the disruption, KEEP=1 leaves the sender's folder.
exec sh "$(dirname "$0")/../standin/run-case.sh" 2
