"""Runs a soak: `python -m elderlock.soak --seed 1 --seconds 600`.

Prints the first violations and, last, one JSON object. The exit code is 1 if a rule was broken.
"""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path

import uvloop

from elderlock.soak.run import SoakOptions, SoakReport, run_soak
from elderlock.standins.world import ROOT

DEFAULT_DURATION_S = 60.0
DEFAULT_LIMITERS = 3
PRINTED_VIOLATIONS = 10


def parse_options(arguments: list[str]) -> SoakOptions:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog="python -m elderlock.soak", description="Soaks real limiters.")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=DEFAULT_DURATION_S)
    parser.add_argument("--limiters", type=int, default=DEFAULT_LIMITERS)
    parser.add_argument("--program-directory", type=Path, default=ROOT, help="the checkout whose limiter is run")
    parser.add_argument("--log-directory", type=Path, help="where the limiters' logs stay; by default they are deleted")
    parsed = parser.parse_args(arguments)
    if parsed.seconds <= 0 or parsed.limiters < 1:
        parser.error("--seconds has to be above 0 and --limiters at least 1")
    return SoakOptions(
        parsed.seed, parsed.seconds, parsed.limiters, parsed.program_directory.resolve(), parsed.log_directory
    )


def print_report(options: SoakOptions, report: SoakReport) -> None:
    """Print the first violations and a JSON summary."""
    for violation in report.violations[:PRINTED_VIOLATIONS]:
        print(f"{violation.at_s:8.2f} s  {violation.rule.value}: {violation.text}")
    summary = {
        "seed": options.seed,
        "seconds": options.duration_s,
        "limiters": options.limiter_count,
        "requests": report.request_count,
        "answers": report.answer_count,
        "crossed": report.crossed_count,
        "shutdowns": report.shutdown_count,
        "hold_ups": report.hold_up_count,
        "violations": report.counts(),
        "first_seen_s": report.first_times_s(),
    }
    print(json.dumps(summary))


def main() -> int:
    """Run the soak of the command line."""
    options = parse_options(sys.argv[1:])
    report = uvloop.run(run_soak(options))
    print_report(options, report)
    return 1 if report.violations else 0


if __name__ == "__main__":
    sys.exit(main())
