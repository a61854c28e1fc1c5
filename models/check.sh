#!/usr/bin/env bash
# Checks the models with spin. The complete models must have no errors. Each variant that leaves out
# one protective step must have an error; otherwise the property would not test that step.
set -euo pipefail
models=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"
failed=0

# check EXPECTED MODEL MODE [DEFINES...]: EXPECTED is "holds" or "fails", MODE "safety" or
# "liveness".
# Sets `failed` if the result differs from EXPECTED or if an incomplete search found no error.
check() {
    local expected=$1 model=$2 mode=$3 errors states found
    shift 3
    rm -f pan pan.* ./*.trail
    # Searches that stop at an error are short and take less time than compiling them, which is
    # therefore done without optimisation.
    local optimise=-O0
    [ "$expected" = fails ] || optimise=-O2
    spin -a "$@" "$models/$model.pml" >spin.log || { cat spin.log; return 1; }
    if [ "$mode" = safety ]; then
        # -w, because the code that spin generates causes an array bounds warning in gcc.
        gcc -w "$optimise" -DSAFETY -o pan pan.c
        ./pan -m1000000 -w24 >pan.log
    else
        gcc -w "$optimise" -DNFAIR=3 -o pan pan.c
        ./pan -a -f -m1000000 -w22 >pan.log
    fi
    errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log)
    states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' pan.log)
    # An incomplete search that found no error does not prove that there is none.
    if [ -z "$errors" ] || grep -qE 'max search depth too small|out of memory|Search not completed' pan.log &&
        [ "$errors" = 0 ]; then
        cat pan.log
        failed=1
        return
    fi
    found=holds
    [ "$errors" = 0 ] || found=fails
    echo "$model $mode $*: $found, $states states"
    if [ "$found" != "$expected" ]; then
        echo "  expected: $expected"
        failed=1
    fi
}

check holds claim safety
check holds claim safety -DTRIES=3 -DFAULTS=0 -DMAX_CALLS=5 -DNO_STATUS_PAGE
for step in UNCONDITIONAL_SENT NO_NONCE TAKE_OVER_SENT NO_SEAL UNSEALED_REFUSAL; do
    check fails claim safety -D$step
done
check fails claim safety -DTRIES=3 -DFAULTS=0 -DMAX_CALLS=5 -DNO_STATUS_PAGE -DSEAL_DROPPED

check holds configuration safety -DWRITES -DFAULTS=4
for step in UNCONDITIONAL_WRITE NO_CHANGE_ID; do
    check fails configuration safety -DWRITES -DFAULTS=4 -D$step
done
check holds configuration safety
check fails configuration safety -DADOPT_ANY
check holds configuration liveness -DCONVERGES -DFAULTS=1 -DVERSIONS=2
for step in NO_EXCHANGE NO_HANDOVER; do
    check fails configuration liveness -DCONVERGES -DFAULTS=1 -DVERSIONS=2 -D$step
done

check holds view safety
for step in ADOPT_ANY SEND_MISSING_AS_PRESENT NO_GRACE_EXPIRY; do
    check fails view safety -D$step
done
exit $failed
