# Debian packages that the build, the tests and the experiments need. Sourced by ./check and
# ./quickstart.
packages="g++ cmake ninja-build pkg-config ccache curl clang clang-format clang-tidy libclang-rt-14-dev
libevent-dev libhttp-parser-dev libthrift-dev thrift-compiler libdocopt-dev libeasyloggingpp-dev libboost-dev libinih-dev
nlohmann-json3-dev libxxhash-dev zlib1g-dev librapidcheck-dev libgtest-dev libgmock-dev libbenchmark-dev spin gnuplot-nox"

install_packages() {
    local missing=""
    for p in $packages; do
        dpkg-query -W -f='${Status}' "$p" 2>/dev/null | grep -q 'install ok installed' || missing="$missing $p"
    done
    [ -z "$missing" ] && return 0
    echo "installing:$missing"
    local sudo=""
    [ "$(id -u)" = 0 ] || sudo=sudo
    $sudo apt-get update -q >/dev/null
    # shellcheck disable=SC2086
    DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -q --no-install-recommends $missing >/dev/null
}
