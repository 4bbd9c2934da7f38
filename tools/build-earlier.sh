#!/usr/bin/env bash
# Builds the daemon of a commit into a target folder of its own, and prints the program's path. By default the commit is the one
# in production, which deploy/system.toml names.
set -eu
cd "$(dirname "$0")/.."
commit=${1:-$(sed -n 's/^production = "\(.*\)"$/\1/p' deploy/system.toml)}
if ! full=$(git rev-parse --verify --quiet "$commit^{commit}"); then
    echo "build-earlier: the history does not have $commit; fetch the whole history" >&2
    exit 1
fi
target=$PWD/target/earlier/$full
program=$target/release/fulmarswitch-node
if [ ! -x "$program" ]; then
    tree=$(mktemp -d)
    trap 'git worktree remove --force "$tree"' EXIT
    git worktree add --quiet --detach "$tree" "$full"
    (cd "$tree" && cargo build --release --locked --quiet --package fulmarswitch-adapter --target-dir "$target") >&2
fi
echo "$program"
