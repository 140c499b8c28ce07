#!/usr/bin/env python3
"""Searches the collected event logs of all balancers.

Input: files or standard input with one JSON object per line. The object may follow a prefix such as a timestamp and a
host name; the last word of the prefix is used as the host name.

    flowlog.py flow 100.64.0.7:40001 LOG...      all events of a flow, and state changes of its targets
    flowlog.py target 43930547973 LOG...         all events of a target
    flowlog.py second 12 LOG...                  all events from 12.0 to 13.0 s after the first one
    flowlog.py plot out.svg LOG...               flow resets, packet drops, target state changes and version rollout
"""

import argparse
import collections
import json
import sys

SVG_WIDTH, SVG_HEIGHT, MARGIN = 900, 220, 50
COLOURS = ["#1b6ca8", "#c0392b", "#27866a", "#8e5ea2", "#b7791f", "#555555"]


def read_events(paths):
    """Returns (seconds since the first event, host, event) in order of time; skips lines that are not events."""
    events = []
    for path in paths or ["-"]:
        with (sys.stdin if path == "-" else open(path, encoding="utf-8", errors="replace")) as lines:
            for line in lines:
                start = line.find("{")
                if start < 0:
                    continue
                try:
                    event = json.loads(line[start:])
                except ValueError:
                    continue
                if "event" not in event or "time_ms" not in event:
                    continue
                words = line[:start].split()
                events.append((event["time_ms"], words[-1] if words else path, event))
    events.sort(key=lambda item: item[0])
    first = events[0][0] if events else 0
    return [((time - first) / 1000.0, host, event) for time, host, event in events]


def print_events(selected):
    """Prints one line per event; identical events of several hosts in the same 50 ms interval are merged."""
    groups = collections.OrderedDict()
    for time, host, event in selected:
        fields = {key: value for key, value in event.items() if key not in ("time_ms",)}
        groups.setdefault((round(time * 20), json.dumps(fields)), (time, []))[1].append(host)
    for (_, text), (time, hosts) in groups.items():
        fields = json.loads(text)
        name = fields.pop("event")
        values = " ".join(f"{key}={value}" for key, value in fields.items())
        host_text = hosts[0] if len(hosts) == 1 else f"{hosts[0]} and {len(hosts) - 1} more"
        print(f"{time:9.3f} s  {host_text:32} {name:18} {values}")
    if not groups:
        print("no matching events")


def flow_events(events, caller):
    """Returns the events of a flow, and the listings and health changes of the targets that it was assigned to."""
    targets = {event.get("target") for _, _, event in events if event.get("caller") == caller and "target" in event}
    return [
        item for item in events
        if item[2].get("caller") == caller
        or (item[2].get("target") in targets and item[2]["event"] in ("target-listed", "target-judged"))
    ]


def counts_per_second(events):
    """Returns the number of flow resets, packet drops and target state changes per second, by reason."""
    result = collections.defaultdict(collections.Counter)
    for time, _, event in events:
        name = event["event"]
        if name == "flow-reset":
            result["reset " + event["reason"]][int(time)] += 1
        elif name == "packet-dropped":
            result["dropped " + event["reason"]][int(time)] += 1
        elif name == "target-judged":
            result["target state " + event["belief"]][int(time)] += 1
    return result


def version_times(events):
    """Returns for each version when the first and the last balancer activated it."""
    result = {}
    for time, _, event in events:
        if event["event"] == "services-in-force":
            first, _ = result.get(event["version"], (time, time))
            result[event["version"]] = (first, time)
    return result


def chart(title, lines, length, top):
    """Returns the SVG elements of one chart of counts per second."""
    largest = max([max(counts.values(), default=0) for counts in lines.values()] or [0]) or 1
    x = lambda second: MARGIN + (SVG_WIDTH - 2 * MARGIN) * second / max(length, 1)
    y = lambda count: top + SVG_HEIGHT - 30 - (SVG_HEIGHT - 60) * count / largest
    parts = [f'<text x="{MARGIN}" y="{top + 16}" font-size="14">{title} (largest {largest})</text>']
    for index, (name, counts) in enumerate(sorted(lines.items())):
        colour = COLOURS[index % len(COLOURS)]
        points = " ".join(f"{x(second):.1f},{y(counts.get(second, 0)):.1f}" for second in range(int(length) + 1))
        parts.append(f'<polyline points="{points}" fill="none" stroke="{colour}"/>')
        parts.append(f'<text x="{SVG_WIDTH - 250}" y="{top + 16 + 14 * index}" font-size="11" fill="{colour}">{name}</text>')
    for second in range(0, int(length) + 1, 10):
        parts.append(f'<text x="{x(second):.1f}" y="{top + SVG_HEIGHT - 14}" font-size="10">{second} s</text>')
    return parts


def plot(events, path):
    """Writes the charts of all events to an SVG file."""
    length = events[-1][0] if events else 1
    counts_by_name = counts_per_second(events)
    rollout_ms = {
        "ms until the last balancer has a version": collections.Counter(
            {int(first): round(1000 * (last - first)) for first, last in version_times(events).values()}
        )
    }
    charts = [
        ("flow resets per second", {n: c for n, c in counts_by_name.items() if n.startswith("reset")}),
        ("packet drops per second", {n: c for n, c in counts_by_name.items() if n.startswith("dropped")}),
        ("target state changes per second", {n: c for n, c in counts_by_name.items() if n.startswith("target state")}),
        ("rollout time of versions", rollout_ms),
    ]
    body = []
    for index, (title, lines) in enumerate(charts):
        body += chart(title, lines, length, index * SVG_HEIGHT)
    with open(path, "w", encoding="utf-8") as out:
        out.write(f'<svg xmlns="http://www.w3.org/2000/svg" width="{SVG_WIDTH}" height="{SVG_HEIGHT * len(charts)}" '
                  'font-family="sans-serif"><rect width="100%" height="100%" fill="white"/>')
        out.write("\n".join(body) + "</svg>\n")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("question", choices=["flow", "target", "second", "plot"])
    parser.add_argument("about", help="caller address, target id, second or path of the SVG file")
    parser.add_argument("logs", nargs="*")
    options = parser.parse_args()
    events = read_events(options.logs)
    if options.question == "flow":
        print_events(flow_events(events, options.about))
    elif options.question == "target":
        print_events([item for item in events if str(item[2].get("target")) == options.about])
    elif options.question == "second":
        second = float(options.about)
        print_events([item for item in events if second <= item[0] < second + 1])
    else:
        plot(events, options.about)


if __name__ == "__main__":
    main()
