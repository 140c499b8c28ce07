#!/usr/bin/env python3
"""Merges benchmark results and writes them as tables into docs/CAPACITY.md.

Usage: capacity.py collect DIRECTORY RESULT.json
       capacity.py page RESULT.json PAGE.md

Each table replaces the text between the lines "<!-- table NAME -->" and "<!-- end table -->" of the page.
"""

import json
import pathlib
import re
import sys


def format_number(value):
    """Formats integers and values from 1,000 as whole numbers, other values with three significant digits."""
    if value is None:
        return "-"
    if isinstance(value, int) or abs(value) >= 1000:
        return f"{round(value):,}"
    return f"{value:.3g}"


def markdown_table(columns, rows):
    """Returns a Markdown table; columns are pairs of a heading and a function that reads the value from a row."""
    lines = ["| " + " | ".join(heading for heading, _ in columns) + " |",
             "|" + "---|" * len(columns)]
    for row in rows:
        lines.append("| " + " | ".join(format_number(read(row)) for _, read in columns) + " |")
    return "\n".join(lines)


def field(*path, scale=1):
    """Returns a function that reads a nested value of a row, or None if it is missing."""
    def read(row):
        for name in path:
            row = row.get(name) if row is not None else None
        return row * scale if row is not None and scale != 1 else row
    return read


TABLES = {
    "membership": (lambda results: results["membership"], [
        ("hosts in the zone", field("hosts")),
        ("B/s, no failures", field("idle", "bytesPerSecond")),
        ("B/s, 10 times the failure rate", field("tenTimesFailureRate", "bytesPerSecond")),
        ("B/s, busiest daemon, 10 times", field("tenTimesFailureRate", "bytesPerSecondOfBusiestDaemon")),
        ("datagrams/s", field("idle", "datagramsPerSecond")),
        ("µs of processor a second", field("idle", "processorMicrosecondsPerSecond")),
        ("memory, bytes a member", field("memoryBytesPerMember")),
        ("join, ms", field("joinMilliseconds")),
    ]),
    "summaries": (lambda results: results["summaries"], [
        ("hosts in the zone", field("hosts")),
        ("zones", field("zones")),
        ("B/s", field("bytesPerSecond")),
        ("B/s, busiest daemon", field("bytesPerSecondOfBusiestDaemon")),
        ("datagrams/s", field("datagramsPerSecond")),
        ("µs of processor a second", field("processorMicrosecondsPerSecond")),
        ("zones wrongly held lost, %", field("falselyLostPercent")),
        ("cut seen by all, s", field("cutSeenSeconds")),
        ("healing seen by all, s", field("healingSeenSeconds")),
        ("memory, kB a daemon", field("memoryBytesPerDaemon", scale=1e-3)),
    ]),
    "rack": (lambda results: [row for row in results["membership"] if "rack" in row], [
        ("hosts in the zone", field("hosts")),
        ("hosts lost at once", field("rack", "hostsLost")),
        ("B/s over 10 s", field("rack", "bytesPerSecond")),
        ("bytes in the worst second", field("rack", "bytesInWorstSecond")),
        ("all views agree after, s", field("rack", "agreedSeconds")),
    ]),
    "isolation": (lambda results: [row for row in results["summaries"] if row["zones"] > 1], [
        ("hosts in the zone", field("hosts")),
        ("zones", field("zones")),
        ("B/s while cut off", field("isolatedBytesPerSecond")),
        ("bytes in the worst second after", field("worstSecondAfterIsolation")),
        ("all zones back after, s", field("allZonesBackSeconds")),
    ]),
    "configuration": (lambda results: results["configuration"], [
        ("targets", field("targets")),
        ("memory, MB", field("memoryBytes", scale=1e-6)),
        ("bytes a target", field("memoryBytesPerTarget")),
        ("one change, µs", field("applyOneChangeUs")),
        ("% of a core at 60,000 changes a day", field("corePercentAt60000ChangesADay")),
        ("change, bytes", field("changeJsonBytes")),
        ("snapshot, MB", field("snapshotBytes", scale=1e-6)),
        ("snapshot values", field("snapshotChunks")),
        ("write snapshot, ms", field("encodeSnapshotMs")),
        ("read snapshot, ms", field("decodeSnapshotMs")),
    ]),
    "flows": (lambda results: results["requests"]["flows"], [
        ("flows", field("flows")),
        ("new flows/s", field("newFlowsPerSecond")),
        ("µs a new flow", field("processorMicrosecondsPerNewFlow")),
        ("µs a request", field("processorMicrosecondsPerRequest")),
        ("bytes a flow, with the records of 10 s", field("bytesPerFlowWithRecords")),
        ("bytes an idle flow", field("bytesPerIdleFlow")),
    ]),
    "steadyflows": (lambda results: results["requests"]["flowsAt2000NewASecond"], [
        ("flows", field("flows")),
        ("bytes a flow at 2,000 new flows/s, all structures", field("bytesPerFlow")),
        ("the same with the kept answers of 200 bytes", field("bytesPerFlowWithAnswers")),
    ]),
    "feeds": (lambda results: results["requests"]["feeds"], [
        ("open feeds", field("feeds")),
        ("µs to open one", field("processorMicrosecondsPerFeed")),
        ("bytes an open feed", field("bytesPerOpenFeed")),
    ]),
    "router": (lambda results: results["requests"]["router"], [
        ("open requests", field("openRequests")),
        ("bytes an open request", field("bytesPerOpenRequest")),
        ("µs a request", field("processorMicrosecondsPerRequest")),
        ("µs a reply", field("processorMicrosecondsPerReply")),
    ]),
    "flowtable": (lambda results: [results["flowtable"]], [
        ("flows", field("flows")),
        ("bytes a flow, table only", field("bytesPerFlow")),
        ("lookup, ns", field("lookupNs")),
        ("lookup relative to a plain map", field("lookupRatio")),
    ]),
}


def collect(directory, result):
    """Merges the JSON files of a directory into one object, keyed by file name without extension."""
    parts = sorted(pathlib.Path(directory).glob("*.json"))
    merged = {part.stem: json.loads(part.read_text()) for part in parts}
    pathlib.Path(result).write_text(json.dumps(merged, indent=1) + "\n")


def update_page(result, page):
    """Replaces the tables of the page; raises KeyError for a marker with an unknown table name."""
    results = json.loads(pathlib.Path(result).read_text())

    def replace(match):
        rows, columns = TABLES[match.group(1)]
        return f"<!-- table {match.group(1)} -->\n{markdown_table(columns, rows(results))}\n<!-- end table -->"

    text = pathlib.Path(page).read_text()
    text = re.sub(r"<!-- table (\w+) -->\n.*?<!-- end table -->", replace, text, flags=re.DOTALL)
    pathlib.Path(page).write_text(text)


def main(arguments):
    commands = {"collect": collect, "page": update_page}
    if len(arguments) != 3 or arguments[0] not in commands:
        sys.exit(__doc__)
    commands[arguments[0]](*arguments[1:])


if __name__ == "__main__":
    main(sys.argv[1:])
