#!/usr/bin/env bash
# Fails when a product crate depends on the adapter in platform/, or has a name of the users' wire. The names are
# those that stand nowhere but on that wire.
set -u
cd "$(dirname "$0")/.." || exit 2
failed=0
for manifest in crates/*/Cargo.toml; do
    if grep -nE 'fulmarswitch-(adapter|platform-standins)' "$manifest" /dev/null; then
        failed=1
    fi
done
names='request-id|deadline-ms|expect-instance|last-event-id|not-executed|wait-ms|prefix-hash|token-usage'
names="$names|keyed\\.(op|servers|jobs|texts|hosts)|log-(append|read|newest|join|commit|owners|trim)"
names="$names|node_name|port_range|fault_tolerance|cold_left_ms|/lots/|/readyz|/resolve"
if grep -rniE "$names" crates/*/src crates/*/tests; then
    failed=1
fi
[ "$failed" -eq 0 ] && echo "the product crates are free of the adapter and its names"
exit "$failed"
