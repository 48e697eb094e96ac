#!/usr/bin/env bash
# Installs the Debian packages of scripts/packages.txt that are missing.
set -eu
cd "$(dirname "$0")/.."
missing=()
while read -r package; do
  dpkg-query -W -f='${db:Status-Status}\n' "$package" 2>/dev/null | grep -qx installed || missing+=("$package")
done < scripts/packages.txt
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" > /dev/null
