#!/usr/bin/env python3
"""Checks with real processes how failures and planned changes of the deployment affect callers.

Each scenario runs 8 daemons under load with open feeds, and prints its results and a verdict as JSON.
"""

import argparse
import json
import signal
import sys
import time

import runner

# Results that must be 0 in every scenario.
ALWAYS_ZERO = ["brokenFlows", "ranTwice", "notRunButRan", "wrongAnswers", "wrongService", "unfinished"]
# Results that must also be 0 after a planned change.
ZERO_AFTER_PLANNED_CHANGE = ["cutOff", "feedSilences"]
EXIT_LIMIT_SECONDS = 6.0  # from SIGTERM to the exit of a daemon under this load
DRAIN_LIMIT_SECONDS = 3.0  # a target must get no new work this long after the drain was accepted


class Check:
    """One scenario: the deployment under load, the results and the failed expectations."""

    def __init__(self, deployment, seconds):
        self.deployment = deployment
        self.results = {}
        self.failures = []
        deployment.start()
        # Few flows, so that each one sends another request after the fault and shows whether it is broken.
        deployment.start_load(seconds, flows=150)
        self.start = time.monotonic()

    def wait_for(self, seconds):
        """Sleeps until the given time in seconds after the start of the load."""
        time.sleep(max(0.0, self.start + seconds - time.monotonic()))

    def busiest_daemon(self):
        """Returns the daemon with most answers of the first service, which has the non-idempotent requests.

        A fault there affects established flows.
        """
        service = runner.LOADS[self.deployment.name][0].service

        def answered(index):
            pools = self.deployment.status(index).get("pools", [])
            return sum(int(pool.get("answered", 0)) for pool in pools if pool["service"] == service)

        return max(range(runner.DAEMON_COUNT), key=answered)

    def expect(self, condition, message):
        if not condition:
            self.failures.append(message)

    def expect_zero(self, names):
        for name in names:
            self.expect(self.results[name] == 0, f"{name} is {self.results[name]}")

    def apply_change(self, index, *arguments):
        """Runs a poplarctl change that must be accepted; returns the time of acceptance."""
        code, text = self.deployment.poplarctl(index, *arguments)
        self.expect(code == 0, f"{' '.join(arguments)}: exit code {code}: {text}")
        return time.monotonic()

    def stop_daemon(self, index):
        """Stops a daemon with SIGTERM; returns the seconds until its exit."""
        before = time.monotonic()
        self.deployment.signal_daemon(index, signal.SIGTERM)
        status = self.deployment.daemons[index].wait(timeout=60)
        self.expect(status == 0, f"daemon {index} exited with status {status}")
        seconds = time.monotonic() - before
        self.expect(seconds <= EXIT_LIMIT_SECONDS, f"daemon {index} took {seconds:.1f} s to exit")
        return round(seconds, 2)

    def finish(self):
        """Waits for the end of the load, collects the results and checks those that hold in every scenario."""
        deployment = self.deployment
        deployment.caller.wait(timeout=90)
        self.expect(all(process.poll() in (None, 0, -signal.SIGKILL) for process in deployment.daemons.values()),
                    "a daemon crashed")
        load_results = deployment.finish_load()
        kinds = json.loads((deployment.folder / "report.json").read_text())["kinds"]
        slots = [entry for entry in kinds.values() if "positions" not in entry]
        load_results["unfinished"] = sum(entry["offered"] - sum(entry["outcomes"].values()) for entry in slots)
        self.results.update(load_results)
        self.expect_zero(ALWAYS_ZERO)

    def runs_after(self, target, accepted):
        """Counts the work that a target started later than DRAIN_LIMIT_SECONDS after its drain was accepted."""
        port = next(entry["address"] for entry in self.deployment.declared if entry["name"] == target).split(":")[1]
        return runner.LedgerComparison(self.deployment).runs_at(port, accepted + DRAIN_LIMIT_SECONDS)

    def expect_all_answered(self):
        not_run = {name: count for name, count in self.results["notRun"].items() if count}
        unknown = {name: count for name, count in self.results["unknown"].items() if count}
        self.expect(not not_run and not unknown, f"unanswered requests: not run {not_run}, unknown {unknown}")


def leave(deployment):
    """Stops the busiest daemon with SIGTERM while a target drains."""
    check = Check(deployment, 9)
    check.wait_for(2)
    victim = check.busiest_daemon()
    drained = check.apply_change((victim + 1) % runner.DAEMON_COUNT, "drain-target", deployment.declared[0]["name"])
    check.results["exitSeconds"] = check.stop_daemon(victim)
    check.finish()
    check.results["runsAtDrained"] = check.runs_after(deployment.declared[0]["name"], drained)
    check.expect_zero(ZERO_AFTER_PLANNED_CHANGE + ["runsAtDrained"])
    check.expect_all_answered()
    return check


def kill(deployment):
    """Kills the busiest daemon with SIGKILL."""
    check = Check(deployment, 8)
    check.wait_for(2)
    deployment.signal_daemon(check.busiest_daemon(), signal.SIGKILL)
    check.finish()
    return check


def pause(deployment):
    """Suspends the busiest daemon for longer than the suspicion timeout and resumes it."""
    check = Check(deployment, 9)
    check.wait_for(2)
    victim = check.busiest_daemon()
    stopped = time.monotonic()
    deployment.signal_daemon(victim, signal.SIGSTOP)
    time.sleep(4)
    deployment.signal_daemon(victim, signal.SIGCONT)
    check.results["pauseSeconds"] = round(time.monotonic() - stopped, 2)
    check.finish()
    return check


def outage(deployment):
    """Replaces a daemon by one without state while the platform is down."""
    check = Check(deployment, 9)
    revision = max(deployment.revisions())
    check.wait_for(2)
    victim = check.busiest_daemon()
    deployment.set_faults(down=True)
    deployment.signal_daemon(victim, signal.SIGKILL)
    deployment.daemons[victim].wait()
    deployment.start_daemon(victim)
    replaced = time.monotonic()
    deployment.wait_until(lambda: int(deployment.status(victim).get("revision", 0)) == revision,
                          "the replacement daemon has the configuration")
    check.results["configSeconds"] = round(time.monotonic() - replaced, 2)
    other = (victim + 1) % runner.DAEMON_COUNT
    code, text = deployment.poplarctl(other, "drain-target", deployment.declared[0]["name"])
    check.results["changeExitCode"] = code
    check.expect(code in (4, 5), f"change while the platform is down: exit code {code}: {text}")
    check.wait_for(8)
    served = sum(int(pool.get("answered", 0)) for pool in deployment.status(victim).get("pools", []))
    replies = [line for line in deployment.metrics(victim).splitlines() if "caller_replies" in line and "dropped" not in line]
    check.results["servedByReplacement"] = served
    check.results["repliesOfReplacement"] = sum(int(float(line.split()[-1])) for line in replies if line[0] != "#")
    check.expect(check.results["repliesOfReplacement"] > 0, "the replacement daemon sent no replies")
    check.finish()
    return check


def rolling(deployment):
    """Replaces all daemons one after the other while a target is drained and activated again."""
    check = Check(deployment, 62)
    name = deployment.declared[0]["name"]
    drained = check.apply_change(0, "drain-target", name)
    exits = []
    for index in range(runner.DAEMON_COUNT):
        exits.append(check.stop_daemon(index))
        deployment.start_daemon(index)
        deployment.wait_until(lambda current=index: int(deployment.status(current).get("revision", 0)) > 0,
                              "the new daemon has the configuration")
        time.sleep(1)
        if index == runner.DAEMON_COUNT // 2:
            activated = check.apply_change(0, "activate-target", name)
    check.results["exitSeconds"] = max(exits)
    check.finish()
    port = next(entry["address"] for entry in deployment.declared if entry["name"] == name).split(":")[1]
    runs = [entry.time for entry in runner.LedgerComparison(deployment).ran if entry.detail.endswith(f"-{port}")]
    check.results["runsAtDrained"] = sum(drained + DRAIN_LIMIT_SECONDS < at < activated - 0.5 for at in runs)
    check.results["runsAfterActivation"] = sum(at > activated for at in runs)
    check.expect_zero(ZERO_AFTER_PLANNED_CHANGE + ["runsAtDrained"])
    # runsAfterActivation is not checked: flows stay at their targets, so the activated target gets only new flows.
    check.expect_all_answered()
    return check


SCENARIOS = {scenario.__name__: scenario for scenario in (leave, kill, pause, outage, rolling)}


def run(name, options):
    with runner.Deployment(options.deployment, options.base_port, options.build) as deployment:
        check = SCENARIOS[name](deployment)
        if check.failures and options.keep_logs:
            deployment.save_logs(options.keep_logs)
    verdict = "; ".join(check.failures) if check.failures else "passed"
    print(json.dumps({"scenario": name, "verdict": verdict, **check.results}), flush=True)
    return not check.failures


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("scenarios", nargs="+", choices=[*SCENARIOS])
    parser.add_argument("--deployment", choices=sorted(runner.LOADS), default="bogota")
    parser.add_argument("--base-port", type=int, default=24000, help="first of 100 ports that are used")
    parser.add_argument("--build", default=runner.ROOT / "build" / "release")
    parser.add_argument("--keep-logs", help="folder for the logs and ledgers of a failed scenario")
    options = parser.parse_args()
    results = [run(name, options) for name in options.scenarios]
    sys.exit(0 if all(results) else 1)


if __name__ == "__main__":
    main()
