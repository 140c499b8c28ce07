#!/usr/bin/env python3
"""Guards the answers of tools/flowlog.py: an engineer must find the cause of a failed request from logs alone."""

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


def ask(*arguments):
    return subprocess.run([sys.executable, TOOL, *arguments], input=LOG, capture_output=True, text=True, check=True).stdout


class FlowLogTests(unittest.TestCase):
    def test_a_flow_is_shown_with_what_was_believed_of_its_target(self):
        answer = ask("flow", "100.64.0.7:1")
        self.assertIn("flow-placed", answer)
        self.assertIn("target=7 belief=silent", answer)
        self.assertIn("reason=target-silent", answer)
        self.assertNotIn("target=8", answer)

    def test_a_target_is_shown_alone(self):
        self.assertIn("edge-a-2", ask("target", "8"))
        self.assertNotIn("edge-a-1", ask("target", "8"))

    def test_the_same_news_of_several_hosts_is_one_line(self):
        lines = [line for line in ask("second", "0.5").splitlines() if "services-in-force" in line]
        self.assertEqual(len(lines), 1)
        self.assertIn("and 1 more", lines[0])

    def test_a_question_without_an_answer_says_so(self):
        self.assertIn("nothing was written", ask("flow", "1.2.3.4:5"))

    def test_a_plot_is_written(self):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "out.svg")
            ask("plot", path)
            with open(path, encoding="utf-8") as picture:
                text = picture.read()
        self.assertIn("reset target-silent", text)
        self.assertTrue(text.rstrip().endswith("</svg>"))


if __name__ == "__main__":
    unittest.main()
