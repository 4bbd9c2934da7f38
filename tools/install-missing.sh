# Sourced by the scripts at the root. Installs cmake, which the build of nng needs and a fresh Debian system with
# a Rust toolchain lacks.
if ! command -v cmake >/dev/null 2>&1; then
    echo "installing cmake"
    apt-get update -q >/dev/null && apt-get install -y -q cmake >/dev/null || {
        echo "cmake is missing and could not be installed; install it and run the script again" >&2
        return 1
    }
fi
