#!/usr/bin/env python3
"""Starts and stops the processes of a deployment, and compares the ledgers that callers and targets wrote.

As a script it runs example deployments under load: tools/runner.py --deployment bogota
"""

import argparse
import json
import os
import re
import secrets
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request
from collections import Counter, defaultdict
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
DAEMON_COUNT = 8
SERVICE_TIME_US = 10000
# Offsets from the base port. The targets of a deployment use the offsets 1 to 18.
PLATFORM_OFFSET, CALLER_OFFSET, PEER_OFFSET, OPERATOR_OFFSET, METRICS_OFFSET = 30, 40, 50, 60, 70


@dataclass
class KindLoad:
    """Offered load of one request kind."""

    kind: str
    service: str
    rate: float = 0  # requests per second; unused for feeds
    flows: int = 600
    size: int = 200  # bytes per answer


# About a sixth of the capacity: 14 targets with 3 or 2 slots and a mean service time of 10 ms.
LOADS = {
    "bogota": [
        KindLoad("bid", "stock", 400),
        KindLoad("feed", "stock", flows=60),
        KindLoad("photo", "photos", 120, size=4000),
    ],
    "bajio": [
        KindLoad("reservation", "booking", 250),
        KindLoad("pickup", "booking", 80),
        KindLoad("availability", "booking", flows=60),
        KindLoad("voucher", "vouchers", 80, size=4000),
    ],
}


def address(port):
    return f"127.0.0.1:{port}"


class Deployment:
    """The processes of one deployment on the loopback interface; kills all of them on exit."""

    def __init__(self, name, base_port, build, leave_timeout_ms=30000):
        self.name = name
        self.base_port = base_port
        self.build = Path(build).resolve()
        self.leave_timeout_ms = leave_timeout_ms
        self.temporary = tempfile.TemporaryDirectory(prefix="poplarroad-")
        self.folder = Path(self.temporary.name)
        self.key = secrets.token_hex(32)
        self.daemons = {}
        self.targets = {}
        self.platform = None
        self.caller = None
        text = (ROOT / "examples" / name / "declarations.json").read_text()
        first = min(int(port) for port in re.findall(r"127\.0\.0\.1:(\d+)", text))
        text = re.sub(r"127\.0\.0\.1:(\d+)", lambda match: address(base_port + 1 + int(match[1]) - first), text)
        self.declarations = text
        edits = json.loads(text)["edits"]
        self.zones = [edit["putZone"]["name"] for edit in edits if "putZone" in edit]
        self.declared = [edit["putTarget"] for edit in edits if "putTarget" in edit]
        self.contracts = {
            contract["kind"]: contract
            for edit in edits
            if "putService" in edit
            for contract in edit["putService"]["contracts"]
        }

    def __enter__(self):
        return self

    def __exit__(self, *_):
        processes = [self.caller, *self.daemons.values(), *self.targets.values(), self.platform]
        for process in [process for process in processes if process and process.poll() is None]:
            process.kill()
            process.wait()
        self.temporary.cleanup()

    def launch(self, program, *arguments, log):
        path = next(self.build.glob(f"*/{program}"), None)
        if path is None:
            sys.exit(f"{program} not found in {self.build}; build it first: cmake --build {self.build}")
        with open(self.folder / log, "ab") as output:
            return subprocess.Popen([path, *arguments], stdout=output, stderr=output)

    def save_logs(self, folder):
        """Copies the logs, settings and ledgers of the run."""
        shutil.copytree(self.folder, folder, dirs_exist_ok=True)

    def zone_of(self, index):
        return self.zones[index % len(self.zones)]

    def port(self, offset, index):
        return self.base_port + offset + index

    def write_settings(self, index):
        seeds = ", ".join(address(self.port(PEER_OFFSET, other)) for other in range(DAEMON_COUNT) if other != index)
        path = self.folder / f"daemon-{index}.ini"
        path.write_text(
            f"[host]\nzone = {self.zone_of(index)}\n"
            f"callers = {address(self.port(CALLER_OFFSET, index))}\n"
            f"peers = {address(self.port(PEER_OFFSET, index))}\n"
            f"operator = {address(self.port(OPERATOR_OFFSET, index))}\n"
            f"metrics = {address(self.port(METRICS_OFFSET, index))}\n"
            f"seeds = {seeds}\nleave-timeout-ms = {self.leave_timeout_ms}\n"
            f"[platform]\naddress = {address(self.base_port + PLATFORM_OFFSET)}\n"
            f"[keys]\ncurrent = 1:{self.key}\n[log]\nlevel = info\n"
        )
        return path

    def start_daemon(self, index):
        settings = self.write_settings(index)
        self.daemons[index] = self.launch("poplarroadd", f"--settings={settings}", log=f"daemon-{index}.log")

    def start_targets(self):
        for service in dict.fromkeys(target["service"] for target in self.declared):
            service_targets = [target for target in self.declared if target["service"] == service]
            self.targets[service] = self.launch(
                "standin-target",
                f"--listen={service_targets[0]['address']}",
                f"--count={len(service_targets)}",
                f"--name={service}-",
                f"--slots={service_targets[0]['slots']}",
                f"--service_us={SERVICE_TIME_US}",
                f"--ledger={self.folder / f'ledger-{service}'}",
                log=f"targets-{service}.log",
            )

    def start(self):
        """Starts all processes and applies the declarations; returns when every daemon has activated them."""
        self.platform = self.launch("standin-platform", f"--port={self.base_port + PLATFORM_OFFSET}", log="platform.log")
        self.start_targets()
        for index in range(DAEMON_COUNT):
            self.start_daemon(index)
        self.wait_until(lambda: all(self.metrics(index) for index in range(DAEMON_COUNT)), "all daemons serve metrics")
        file = self.folder / "declarations.json"
        file.write_text(self.declarations)
        code, text = self.poplarctl(0, "apply", str(file))
        if code != 0:
            sys.exit(f"declarations rejected: {text}")
        revision = len(json.loads(self.declarations)["edits"])
        self.wait_until(lambda: self.revisions() == [revision] * DAEMON_COUNT,
                        f"revision {revision} is active on every daemon")
        self.wait_until(self.all_zones_reachable, "every daemon reaches every zone")

    def poplarctl(self, index, *arguments):
        """Runs poplarctl against a daemon; returns its exit code and output."""
        command = [next(self.build.glob("*/poplarctl")), *arguments]
        command += [f"--daemon={address(self.port(OPERATOR_OFFSET, index))}", "--output=json"]
        done = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)
        return done.returncode, done.stdout + done.stderr

    def status(self, index):
        """Returns the status that a daemon reports, or an empty dict if it does not answer."""
        code, text = self.poplarctl(index, "status")
        return json.loads(text) if code == 0 else {}

    def revisions(self):
        return [int(self.status(index).get("revision", 0)) for index in range(DAEMON_COUNT)]

    def all_zones_reachable(self):
        """Returns whether each daemon reaches all zones; it can forward only to reachable ones."""
        for index in range(DAEMON_COUNT):
            code, text = self.poplarctl(index, "fleet")
            zones = json.loads(text).get("zones", []) if code == 0 else []
            if sum(zone.get("reachable", False) for zone in zones) < len(self.zones):
                return False
        return True

    def metrics(self, index):
        try:
            url = f"http://{address(self.port(METRICS_OFFSET, index))}/metrics"
            with urllib.request.urlopen(url, timeout=1) as answer:
                return answer.read().decode()
        except OSError:
            return ""

    def set_faults(self, **faults):
        url = f"http://{address(self.base_port + PLATFORM_OFFSET)}/faults"
        urllib.request.urlopen(urllib.request.Request(url, json.dumps(faults).encode()), timeout=2).close()

    def wait_until(self, condition, description, seconds=15):
        deadline = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > deadline:
                self.print_logs()
                sys.exit(f"timed out after {seconds} s waiting until {description}")
            time.sleep(0.1)

    def print_logs(self):
        for path in sorted(self.folder.glob("*.log")):
            lines = path.read_text(errors="replace").splitlines()[-10:]
            print(f"--- {path.name}", *lines, sep="\n", file=sys.stderr)

    def start_load(self, seconds, flows=None, seed=1):
        """Starts the callers, which send each datagram to a random daemon; flows applies to all kinds but feeds."""
        daemons = ",".join(address(self.port(CALLER_OFFSET, index)) for index in range(DAEMON_COUNT))
        loads = LOADS[self.name]
        lines = ["[run]", f"daemons = {daemons}", f"duration-ms = {int(seconds * 1000)}", f"seed = {seed}"]
        lines += [f"report = {self.folder / 'report.json'}", f"ledger = {self.folder / 'ledger-caller'}"]
        lines += ["kinds = " + ",".join(load.kind for load in loads)]
        for load in loads:
            contract = self.contracts[load.kind]
            lines += [f"[{load.kind}]", f"service = {load.service}", f"idempotent = {contract['idempotent']}".lower()]
            lines += [f"feed = {contract['occupancy'] == 'connection'}".lower(), f"rate = {max(load.rate, 1)}"]
            lines += [f"deadline-ms = {contract['deadlineMilliseconds']}", f"flows = {flows if flows and load.rate else load.flows}"]
            lines += ["callers = 20", f"size = {load.size}"]
        path = self.folder / "callers.ini"
        path.write_text("\n".join(lines) + "\n")
        self.caller = self.launch("standin-caller", f"--scenario={path}", log="caller.log")

    def finish_load(self):
        """Waits for the callers, stops the targets so that their ledgers are complete, and returns the results."""
        self.caller.wait(timeout=60)
        for process in self.targets.values():
            process.send_signal(signal.SIGTERM)
            process.wait(timeout=10)
        return LedgerComparison(self).results()

    def signal_daemon(self, index, signal_number):
        os.kill(self.daemons[index].pid, signal_number)

    def stop_daemons(self):
        """Stops all daemons gracefully; returns their exit codes."""
        for process in self.daemons.values():
            process.send_signal(signal.SIGTERM)
        return [process.wait(timeout=60) for process in self.daemons.values()]


@dataclass
class LedgerEntry:
    """One line of a ledger: an event of one request, identified by flow and sequence."""

    event: str
    request: tuple
    time: float  # seconds of the monotonic clock
    detail: str


def read_ledger(path):
    entries = []
    for line in path.read_text().splitlines() if path.exists() else []:
        event, flow, sequence, microseconds, detail = line.split(" ", 4)
        entries.append(LedgerEntry(event, (flow, sequence), int(microseconds) / 1e6, detail))
    return entries


class LedgerComparison:
    """Compares what the targets ran with the outcomes that the callers received."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.report = json.loads((deployment.folder / "report.json").read_text())
        self.caller_entries = read_ledger(deployment.folder / "ledger-caller")
        self.target_entries = []
        for service in deployment.targets:
            self.target_entries += read_ledger(deployment.folder / f"ledger-{service}")
        self.ran = [entry for entry in self.target_entries if entry.event == "run"]
        outcomes = [entry for entry in self.caller_entries if entry.event not in ("wrong", "again")]
        self.outcomes = sorted(outcomes, key=lambda entry: entry.time)
        self.kind_of_flow = {entry.request[0]: entry.detail for entry in self.outcomes}

    def count_by_reason(self, outcome):
        """Counts the requests with an outcome, by kind and reason."""
        counts = Counter()
        for kind, entry in self.report["kinds"].items():
            for name, number in entry["outcomes"].items():
                if name.split(":")[0] == outcome:
                    counts[f"{kind} {name.partition(':')[2]}".strip()] += number
        return dict(counts)

    def ran_twice(self):
        """Counts requests of non-idempotent kinds that targets ran more than once."""
        contracts = self.deployment.contracts
        runs = Counter(entry.request for entry in self.ran)
        kinds = {request: self.kind_of_flow.get(request[0], "") for request, number in runs.items() if number > 1}
        return sum(not contracts[kind]["idempotent"] for kind in kinds.values() if kind)

    def not_run_but_ran(self):
        """Counts requests that ran although the caller received notRun."""
        ran = {entry.request for entry in self.ran}
        reported = {
            entry.request
            for entry in self.caller_entries
            if entry.event == "again" or entry.event.startswith("notRun")
        }
        return len(ran & reported)

    def wrong_service(self):
        """Counts runs at a target of another service than the one of the request."""
        services = {load.kind: load.service for load in LOADS[self.deployment.name]}
        return sum(
            not entry.detail.startswith(services[self.kind_of_flow[entry.request[0]]] + "-")
            for entry in self.ran
            if entry.request[0] in self.kind_of_flow
        )

    def broken_flows(self):
        """Counts feeds with gaps or silent at the end, and flows with answers whose last request was not answered.

        A rejection under overload carries a retry time, so it does not break the flow.
        """
        feeds = sum(entry.get("broken", 0) for entry in self.report["kinds"].values())
        last = {entry.request[0]: entry.event for entry in self.outcomes}
        answered = {entry.request[0] for entry in self.outcomes if entry.event == "answered"}
        kept = ("answered", "notRun:overload", "notRun:queue-full", "notRun:deadline-infeasible")
        return feeds + sum(last[flow] not in kept for flow in answered)

    def cut_off(self):
        """Counts requests whose connection to the target closed before the answer."""
        return sum(entry.event == "lost" for entry in self.target_entries)

    def largest_to_mean(self):
        """Returns for each service the ratio of the largest to the mean number of slot requests per declared target."""
        feeds = {kind for kind, contract in self.deployment.contracts.items() if contract["occupancy"] == "connection"}
        slots = [entry for entry in self.ran if self.kind_of_flow.get(entry.request[0], "feed") not in feeds]
        by_service = defaultdict(Counter)
        for entry in slots:
            by_service[entry.detail.rsplit("-", 1)[0]][entry.detail] += 1
        ratios = {}
        for service, counts in by_service.items():
            declared = sum(target["service"] == service for target in self.deployment.declared)
            ratios[service] = round(max(counts.values()) * declared / sum(counts.values()), 3)
        return ratios

    def runs_at(self, port, after):
        """Counts requests and feeds that a target started after a time of the monotonic clock."""
        return sum(entry.time > after and entry.detail.endswith(f"-{port}") for entry in self.ran)

    def results(self):
        kinds = self.report["kinds"]
        feeds = [entry for entry in kinds.values() if "positions" in entry]
        return {
            "offered": {kind: entry["offered"] for kind, entry in kinds.items()},
            "served": {kind: entry["outcomes"].get("answered", 0) or entry.get("positions", 0)
                       for kind, entry in kinds.items()},
            "notRun": self.count_by_reason("notRun"),
            "unknown": self.count_by_reason("unknown"),
            "brokenFlows": self.broken_flows(),
            "cutOff": self.cut_off(),
            "ranTwice": self.ran_twice(),
            "notRunButRan": self.not_run_but_ran(),
            "wrongAnswers": self.report["wrong"],
            "wrongService": self.wrong_service(),
            "feedGaps": sum(entry["gaps"] for entry in feeds),
            "feedResumes": sum(entry["resumes"] for entry in feeds),
            "feedSilences": sum(entry["silences"] for entry in feeds),
            "largestToMean": self.largest_to_mean(),
        }


def print_results(name, results):
    def format_value(value):
        if isinstance(value, dict):
            return ", ".join(f"{key} {number}" for key, number in value.items()) or "0"
        return str(value)

    rows = [
        ("served (feeds: positions)", "served"),
        ("notRun", "notRun"),
        ("unknown", "unknown"),
        ("broken flows", "brokenFlows"),
        ("non-idempotent requests run twice", "ranTwice"),
        ("notRun of a request that ran", "notRunButRan"),
        ("answers at the wrong caller", "wrongAnswers"),
        ("requests at the wrong service", "wrongService"),
        ("largest to mean work of a target", "largestToMean"),
    ]
    print(f"\n{name}")
    for title, key in rows:
        print(f"  {title:<36}{format_value(results[key])}")


def run_deployment(name, base_port, build, seconds):
    with Deployment(name, base_port, build) as deployment:
        print(f"{name}: platform, {DAEMON_COUNT} daemons in {len(deployment.zones)} zones, "
              f"{len(deployment.declared)} targets; {seconds} s of load", flush=True)
        deployment.start()
        deployment.start_load(seconds)
        results = deployment.finish_load()
        print_results(name, results)
    return all(results[key] == 0 for key in ("brokenFlows", "ranTwice", "notRunButRan", "wrongAnswers", "wrongService"))


def main():
    parser = argparse.ArgumentParser(description="Runs example deployments with real processes under load.")
    parser.add_argument("--deployment", choices=sorted(LOADS), action="append", help="default: all, in sequence")
    parser.add_argument("--base-port", type=int, default=21000)
    parser.add_argument("--build", default=ROOT / "build" / "release")
    parser.add_argument("--seconds", type=float, default=15)
    options = parser.parse_args()
    passed = []
    for number, name in enumerate(options.deployment or ["bogota", "bajio"]):
        passed.append(run_deployment(name, options.base_port + 1000 * number, options.build, options.seconds))
    sys.exit(0 if all(passed) else 1)


if __name__ == "__main__":
    main()
