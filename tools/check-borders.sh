#!/usr/bin/env bash
# Fails when a crate under crates/ depends on the platform adapter in platform/, or contains a name of the
# platform's wire protocol. Only names that occur nowhere else are checked.
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
[ "$failed" -eq 0 ] && echo "no crate under crates/ depends on the platform adapter or uses its protocol names"
exit "$failed"
