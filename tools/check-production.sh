#!/usr/bin/env bash
# Fails when deploy/system.toml does not name the version in production as a full commit of the history. A clone without the whole
# history cannot tell, and passes with a message.
set -u
cd "$(dirname "$0")/.." || exit 2
commit=$(sed -n 's/^production = "\(.*\)"$/\1/p' deploy/system.toml)
if ! printf '%s' "$commit" | grep -qxE '[0-9a-f]{40}'; then
    echo "deploy/system.toml: production is \"$commit\"; name the full commit, 40 hexadecimal digits"
    exit 1
fi
if ! shallow=$(git rev-parse --is-shallow-repository 2>/dev/null); then
    echo "version in production not checked: this is no clone with a history"
elif git merge-base --is-ancestor "$commit" HEAD 2>/dev/null; then
    echo "version in production: $(git show --no-patch --format='%h %s' "$commit")"
elif [ "$shallow" = true ]; then
    echo "version in production not checked: this clone is shallow and does not hold $commit"
else
    echo "deploy/system.toml: production is $commit, which is not in the history of this commit; name one that is"
    exit 1
fi
