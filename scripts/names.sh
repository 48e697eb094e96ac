#!/usr/bin/env bash
# Fails if a name from the protocols of the users' platform occurs outside
# platform/, its tests and stand-ins, and deploy/.
set -eu
cd "$(dirname "$0")/.."
names='kv-(txn|key|range|watch|lease|keep)|op/config|op/evacuate|coldLeftMs|coldPerS|warmupS|trafficSplit|allowedRegions|apiKeys|ratePerS|burstSize|X-Api-Key|Comfreystand-Tenant|\btenants\b|maxAttempts|timeoutMs|goalMs|Expect-Instance|Server-Stamp|Not-Executed|Affinity-Key|staleOk|seedNodes|/v1/resolve|/v1/readiness'
found=$(git ls-files --cached --others --exclude-standard 'include/*' 'src/*' 'soak/*' 'bench/*' 'examples/*' |
  tr '\n' '\0' | xargs -0 -r grep -nE "$names" 2> /dev/null || true)
if [ -n "$found" ]; then
  echo "names of the platform outside platform/:"
  echo "$found"
  exit 1
fi
echo "names: clean"
