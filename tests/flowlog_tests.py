#!/usr/bin/env python3
"""Tests tools/flowlog.py: the cause of a failed request must be found from logs alone."""

import os
import subprocess
import sys
import tempfile
import unittest

TOOL = os.path.join(os.path.dirname(__file__), "..", "tools", "flowlog.py")
LOG = """\
  0.1 edge-a-1 {"time_ms":1000,"event":"flow-placed","caller":"100.64.0.7:1","service":"198.18.0.1:443","target":7,"copy":0}
  0.2 edge-a-1 {"time_ms":1200,"event":"target-judged","target":7,"belief":"silent","repeating":2,"since_progress_ms":600}
  0.2 edge-a-2 {"time_ms":1210,"event":"target-judged","target":8,"belief":"silent","repeating":2,"since_progress_ms":600}
  0.3 edge-a-1 {"time_ms":1201,"event":"flow-reset","caller":"100.64.0.7:1","service":"198.18.0.1:443","reason":"target-silent"}
not a line of the log
  0.4 edge-a-1 {"time_ms":1900,"event":"services-in-force","version":4,"routes":9}
  0.4 edge-a-2 {"time_ms":1910,"event":"services-in-force","version":4,"routes":9}
  0.5 edge-a-2 {"time_ms":broken
"""


def run_flowlog(*arguments):
    return subprocess.run([sys.executable, TOOL, *arguments], input=LOG, capture_output=True, text=True, check=True).stdout


class FlowLogTests(unittest.TestCase):
    def test_flow_output_includes_health_changes_of_its_target(self):
        output = run_flowlog("flow", "100.64.0.7:1")
        self.assertIn("flow-placed", output)
        self.assertIn("target=7 belief=silent", output)
        self.assertIn("reason=target-silent", output)
        self.assertNotIn("target=8", output)

    def test_target_output_contains_only_events_of_that_target(self):
        self.assertIn("edge-a-2", run_flowlog("target", "8"))
        self.assertNotIn("edge-a-1", run_flowlog("target", "8"))

    def test_identical_events_of_several_hosts_are_merged(self):
        lines = [line for line in run_flowlog("second", "0.5").splitlines() if "services-in-force" in line]
        self.assertEqual(len(lines), 1)
        self.assertIn("and 1 more", lines[0])

    def test_no_matching_events_is_reported(self):
        self.assertIn("no matching events", run_flowlog("flow", "1.2.3.4:5"))

    def test_plot_writes_svg_file_with_reset_reasons(self):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "out.svg")
            run_flowlog("plot", path)
            with open(path, encoding="utf-8") as file:
                text = file.read()
        self.assertIn("reset target-silent", text)
        self.assertTrue(text.rstrip().endswith("</svg>"))


if __name__ == "__main__":
    unittest.main()
