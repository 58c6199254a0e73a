#!/usr/bin/env python3
"""Prints the tables of docs/CAPACITY.md for the size that the tier is designed for, computed from the
fitted lines in bench/slopes.json. With --check FILE it fails if FILE lacks a line of its output.

`tools/bench control` and `tools/bench path` write the measured values to out/control.json and
out/path-71.json; bench/capacity.py --update copies them from there to bench/slopes.json.
"""

import argparse
import json
import pathlib
import sys

BENCH = pathlib.Path(__file__).resolve().parent
SLOPES = BENCH / "slopes.json"
OUT = BENCH.parent / "out"

VMS = 6_000
BACKEND_SERVERS = 34_000
QUERIES_PER_SECOND = 810_000
FAN_OUT = 71
SETTINGS_CHANGES_PER_DAY = 32_000
CELL_VMS = 8
WATCHERS_PER_CELL = 2
SECONDS_PER_DAY = 86_400

CPU_SHARE_LIMIT = 0.025
MEMORY_LIMIT_BYTES = 128_000_000
BYTES_PER_SECOND_LIMIT = 7_000
STORE_READS_LIMIT = 2_000


def line(slope, members):
    """Value of a fitted line at a number of members. A cost cannot fall as members are added, so a
    negative slope is measurement noise and is treated as zero."""
    return slope["fixed"] + max(0, slope["perMember"]) * members


def update():
    """Copies the measured values from out/ to bench/slopes.json."""
    control = json.loads((OUT / "control.json").read_text())
    path = json.loads((OUT / "path-71.json").read_text())
    slopes = {
        name: control[name]
        for name in ("cpuShare", "residentBytes", "bytesPerSecond", "storeCallsPerSecond")
    }
    slopes["measuredMembers"] = [size["members"] for size in control["sizes"]]
    slopes["cpuMicrosPerSubrequest"] = path["tierCpuMicrosPerSubrequest"]
    slopes["bytesPerIdleConnection"] = path["bytesPerIdleConnection"]
    SLOPES.write_text(json.dumps(slopes, indent=2, sort_keys=True) + "\n")


def verdict(value, limit):
    """Says how a value compares with its limit. Zero means that nothing was counted."""
    if value == 0:
        return "not measured"
    return "within" if value <= limit else f"over by {value / limit:.1f} x"


def control_table(slopes):
    """Control plane cost per VM, in a cell and in one group of all VMs."""
    rows = [
        ("processor, share of a core", "cpuShare", CPU_SHARE_LIMIT, 1, ".4f"),
        ("memory, MB", "residentBytes", MEMORY_LIMIT_BYTES, 1e6, ".1f"),
        ("bytes sent between VMs, a second", "bytesPerSecond", BYTES_PER_SECOND_LIMIT, 1, ".0f"),
    ]
    yield f"| per VM | limit | cell of {CELL_VMS} | verdict | one group of {VMS} | verdict |"
    yield "|---|---|---|---|---|---|"
    for title, name, limit, unit, form in rows:
        cell = line(slopes[name], CELL_VMS)
        group = line(slopes[name], VMS)
        yield (
            f"| {title} | {limit / unit:{form}} | {cell / unit:{form}} | {verdict(cell, limit)} "
            f"| {group / unit:{form}} | {verdict(group, limit)} |"
        )


def store_table(slopes):
    """Calls per second to the platform's store."""
    cells = VMS / CELL_VMS
    calls = line(slopes["storeCallsPerSecond"], CELL_VMS)
    watchers = cells * WATCHERS_PER_CELL
    changes = SETTINGS_CHANGES_PER_DAY / SECONDS_PER_DAY
    rows = [
        ("every VM calls as measured", VMS * calls),
        (f"only {WATCHERS_PER_CELL} VMs a cell call as measured", watchers * calls),
        ("settings changes, each read by the watchers", changes * watchers),
    ]
    yield "| store calls a second | all VMs | limit | verdict |"
    yield "|---|---|---|---|"
    for title, value in rows:
        yield (
            f"| {title} | {value:.0f} | {STORE_READS_LIMIT} "
            f"| {verdict(value, STORE_READS_LIMIT)} |"
        )


def data_table(slopes):
    """Load of the data path per VM."""
    queries = QUERIES_PER_SECOND / VMS
    subrequests = queries * FAN_OUT
    cores = subrequests * slopes["cpuMicrosPerSubrequest"] / 1e6
    yield "| data path, per VM | value |"
    yield "|---|---|"
    yield f"| queries a second | {queries:.0f} |"
    yield f"| subrequests a second | {subrequests:.0f} |"
    yield f"| processor, cores | {cores:.2f} |"
    yield f"| backend servers owned | {BACKEND_SERVERS / VMS:.1f} |"
    yield f"| backend servers owned by a cell | {BACKEND_SERVERS / VMS * CELL_VMS:.0f} |"
    yield f"| memory of 1,000 idle callers, MB | {slopes['bytesPerIdleConnection'] / 1e3:.1f} |"


def tables(slopes):
    """Returns the lines of all tables."""
    sizes = ", ".join(str(size) for size in slopes["measuredMembers"])
    yield f"Measured at {sizes} members; all other sizes are extrapolated along the fitted line."
    for table in (control_table, store_table, data_table):
        yield ""
        yield from table(slopes)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--update", action="store_true", help="first copy the values from out/")
    parser.add_argument("--check", metavar="FILE", help="check that FILE holds each printed line")
    options = parser.parse_args()
    if options.update:
        update()
    lines = list(tables(json.loads(SLOPES.read_text())))
    if options.check is None:
        print("\n".join(lines))
        return 0
    page = pathlib.Path(options.check).read_text().splitlines()
    missing = [text for text in lines if text not in page]
    for text in missing:
        print(f"{options.check} lacks: {text}", file=sys.stderr)
    return 1 if missing else 0


if __name__ == "__main__":
    sys.exit(main())
