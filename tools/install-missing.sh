# Installs what a fresh Debian machine with a Rust toolchain lacks: cmake, which builds nng.
if ! command -v cmake >/dev/null 2>&1; then
    echo "installing cmake"
    apt-get update -q >/dev/null && apt-get install -y -q cmake >/dev/null || {
        echo "cmake is missing and could not be installed; install it and run this again" >&2
        return 1
    }
fi
