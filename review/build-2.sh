#!/bin/sh
# Builds the stand-ins and checks of the cases 6 to 10 into review/standin-2/out. Run it after the
# build of deploy/system.toml, whose libraries it links.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/standin-2/out
g++ -std=c++17 -O2 -Wall -Wextra -Iinclude -Iplatform -Ireview/standin-2 \
    review/standin-2/*.cc -o review/standin-2/out/cases \
    target/libperidotwheel.a $(pkg-config --libs libevent libevent_pthreads libxxhash) \
    -lhttp_parser -lpthread
