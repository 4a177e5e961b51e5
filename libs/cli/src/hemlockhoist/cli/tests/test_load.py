import doctest
import json
import unittest

from click.testing import CliRunner

from hemlockhoist.cli import load
from hemlockhoist.cli.load import Percentiles, read_load
from hemlockhoist.cli.log_lines import parse_line
from hemlockhoist.cli.main import main

ADMITTED = "request_admitted customer=c route=r prompt_tokens=900 units=950"


def log(*texts):
    """Return lines, each given as ``seconds event fields``."""
    return "\n".join(
        f"timestamp=2026-01-02T03:04:{float(at):09.6f}Z level=info event={rest}"
        for at, _, rest in (text.partition(" ") for text in texts)
    )


def load_of(*texts):
    return read_load(parse_line(text) for text in log(*texts).splitlines())


class LoadTests(unittest.TestCase):
    def test_waits_and_holds(self):
        """Waits are told by rank, holds by upstream, and attempts not sent are left out
        of the holds."""
        found = load_of(
            f"1 {ADMITTED} request=a rank=2",
            "1.2 attempt_ended request=a upstream=u1 outcome=not_sent sent=false "
            "waited_ms=200 first_ms=-1 total_ms=-1",
            "1.9 attempt_ended request=a upstream=u2 outcome=success sent=true "
            "waited_ms=10 first_ms=80 total_ms=600",
            "1.9 request_ended request=a status=200 after_ms=900",
        )
        (rank,) = found.ranks
        self.assertEqual((rank.rank, rank.asked, rank.answered), (2, 1, 1))
        self.assertEqual(
            rank.wait, Percentiles(count=2, p50_ms=10, p90_ms=200, p99_ms=200)
        )
        first, second = found.upstreams
        self.assertEqual((first.upstream, first.sent), ("u1", 0))
        self.assertEqual(first.outcomes, {"not_sent": 1})
        self.assertEqual(first.hold, Percentiles())
        self.assertEqual((second.first.p50_ms, second.hold.p50_ms), (80, 600))

    def test_caller_that_comes_back_as_told(self):
        """The next request of its size, at the told time, is its return; others not."""
        found = load_of(
            f"1 {ADMITTED} request=a rank=1",
            "1 request_refused request=a code=200 retry_after_ms=1500",
            f"1.5 {ADMITTED} request=early rank=1",
            "1.6 request_ended request=early status=200",
            f"2.5 {ADMITTED} request=b rank=1",
            "3.1 request_refused request=b code=201 retry_after_ms=900",
            f"2.6 {ADMITTED} request=c rank=1",
            "3 request_ended request=c status=200",
        )
        (rank,) = found.ranks
        self.assertEqual((rank.asked, rank.answered, rank.refused), (4, 2, 2))
        self.assertEqual((rank.returned, rank.returned_refused), (1, 1))
        self.assertEqual(rank.returned_answered, 0)
        self.assertEqual(
            [(row.code, row.count, row.retry_after.p50_ms) for row in found.refusals],
            [(200, 1, 1_500), (201, 1, 900)],
        )

    def test_callers_that_left(self):
        """Those that left without a place are told apart from those that had one."""
        found = load_of(
            f"1 {ADMITTED} request=a rank=0",
            "3.4 caller_left request=a after_ms=2400 attempts=1",
            f"1 {ADMITTED} request=b rank=0",
            "1 place_granted request=b/1.1 upstream=u1",
            "2 caller_left request=b after_ms=1000 attempts=1",
        )
        (rank,) = found.ranks
        self.assertEqual((rank.left, rank.left_waiting), (2, 1))
        self.assertEqual(rank.left_after.p50_ms, 2_400)

    def test_cut_stream_is_not_answered(self):
        """A stream that was cut ends with a status, and is no answer."""
        found = load_of(
            f"1 {ADMITTED} request=a rank=0",
            "1.5 stream_cut request=a reason=broke",
            "1.5 request_ended request=a status=200",
        )
        (rank,) = found.ranks
        self.assertEqual((rank.answered, rank.cut), (0, 1))

    def test_refused_before_it_was_admitted(self):
        """A refusal without a rank is counted under rank -1."""
        found = load_of("1 request_refused request=a code=100 retry_after_ms=0")
        self.assertEqual([(row.rank, row.code) for row in found.refusals], [(-1, 100)])
        self.assertEqual(found.ranks, [])

    def test_lines_that_can_not_be_read(self):
        """Fields that are no numbers and times that are none count as missing."""
        text = "timestamp=yesterday event=attempt_ended request=a upstream=u "
        text += "sent=true total_ms=long outcome=success"
        found = read_load([parse_line(text)])
        self.assertEqual(found.upstreams[0].hold, Percentiles())

    def test_command(self):
        """The command prints tables, and JSON for scripts, also of an empty log."""
        text = log(
            f"1 {ADMITTED} request=a rank=2",
            "1.9 attempt_ended request=a upstream=u2 outcome=success sent=true "
            "waited_ms=10 first_ms=80 total_ms=600",
        )
        found = CliRunner().invoke(main, ["load"], text)
        self.assertEqual(found.exit_code, 0, found.output)
        self.assertIn("By rank:", found.output)
        self.assertIn("1x 600/600/600", found.output)
        as_json = CliRunner().invoke(main, ["load", "--json"], text)
        self.assertEqual(json.loads(as_json.output)["upstreams"][0]["sent"], 1)
        empty = CliRunner().invoke(main, ["load"], "")
        self.assertEqual(empty.output.count("none"), 3)


def load_tests(loader, tests, pattern):
    tests.addTests(doctest.DocTestSuite(load))
    return tests
