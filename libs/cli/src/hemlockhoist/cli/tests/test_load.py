import doctest
import json
import unittest

from click.testing import CliRunner

from hemlockhoist.cli import accepting, load
from hemlockhoist.cli.load import Percentiles, read_load
from hemlockhoist.cli.log_lines import parse_line
from hemlockhoist.cli.main import main

ADMITTED = "request_admitted customer=c route=r prompt_tokens=900 units=950"


def log(*texts):
    """Return log lines for texts of the form ``seconds event fields``."""
    return "\n".join(
        f"timestamp=2026-01-02T03:04:{float(at):09.6f}Z level=info event={rest}"
        for at, _, rest in (text.partition(" ") for text in texts)
    )


def load_of(*texts):
    return read_load(parse_line(text) for text in log(*texts).splitlines())


class LoadTests(unittest.TestCase):
    def test_waits_and_holds(self):
        """Waits are given by rank and holds by upstream, without attempts not sent."""
        summary = load_of(
            f"1 {ADMITTED} request=a rank=2",
            "1.2 attempt_ended request=a upstream=u1 outcome=not_sent sent=false "
            "waited_ms=200 first_ms=-1 total_ms=-1",
            "1.9 attempt_ended request=a upstream=u2 outcome=success sent=true "
            "waited_ms=10 first_ms=80 total_ms=600",
            "1.9 request_ended request=a status=200 after_ms=900",
        )
        (rank,) = summary.ranks
        self.assertEqual((rank.rank, rank.asked, rank.answered), (2, 1, 1))
        self.assertEqual(
            rank.wait, Percentiles(count=2, p50_ms=10, p90_ms=200, p99_ms=200)
        )
        first, second = summary.upstreams
        self.assertEqual((first.upstream, first.sent), ("u1", 0))
        self.assertEqual(first.outcomes, {"not_sent": 1})
        self.assertEqual(first.hold, Percentiles())
        self.assertEqual((second.first.p50_ms, second.hold.p50_ms), (80, 600))

    def test_retry_at_the_given_time(self):
        """Only the next request of the same size at the given time is the retry."""
        summary = load_of(
            f"1 {ADMITTED} request=a rank=1",
            "1 request_refused request=a code=200 retry_after_ms=1500",
            f"1.5 {ADMITTED} request=early rank=1",
            "1.6 request_ended request=early status=200",
            f"2.5 {ADMITTED} request=b rank=1",
            "3.1 request_refused request=b code=201 retry_after_ms=900",
            f"2.6 {ADMITTED} request=c rank=1",
            "3 request_ended request=c status=200",
        )
        (rank,) = summary.ranks
        self.assertEqual((rank.asked, rank.answered, rank.refused), (4, 2, 2))
        self.assertEqual((rank.returned, rank.returned_refused), (1, 1))
        self.assertEqual(rank.returned_answered, 0)
        self.assertEqual(
            [(row.code, row.count, row.retry_after.p50_ms) for row in summary.refusals],
            [(200, 1, 1_500), (201, 1, 900)],
        )

    def test_disconnected_callers(self):
        """Callers that disconnected without a slot are counted separately."""
        summary = load_of(
            f"1 {ADMITTED} request=a rank=0",
            "3.4 caller_left request=a after_ms=2400 attempts=1",
            f"1 {ADMITTED} request=b rank=0",
            "1 place_granted request=b/1.1 upstream=u1",
            "2 caller_left request=b after_ms=1000 attempts=1",
        )
        (rank,) = summary.ranks
        self.assertEqual((rank.left, rank.left_waiting), (2, 1))
        self.assertEqual(rank.left_after.p50_ms, 2_400)

    def test_cut_stream_is_not_answered(self):
        """A stream that was cut has a status, but does not count as answered."""
        summary = load_of(
            f"1 {ADMITTED} request=a rank=0",
            "1.5 stream_cut request=a reason=broke",
            "1.5 request_ended request=a status=200",
        )
        (rank,) = summary.ranks
        self.assertEqual((rank.answered, rank.cut), (0, 1))

    def test_connections_that_hosts_did_not_take(self):
        summary = load_of(
            "1 connections_full host=h1 open=30 busy=28 limit=28",
            "3.5 connections_have_room host=h1 open=20 busy=9 limit=28",
            "4 accept_failed host=h2 listener=callers reason=EMFILE",
            "5 accept_failed host=h2 listener=callers reason=ENETDOWN",
            "6 listener_lost host=h2 listener=callers reason=EINVAL",
            "7 connections_full host=h2 open=30 busy=28 limit=28",
        )
        first, second = summary.accepting
        self.assertEqual((first.host, first.full, first.full_ms), ("h1", 1, 2_500))
        self.assertEqual(second.errors, {"EMFILE": 1, "ENETDOWN": 1})
        self.assertEqual((second.full, second.full_ms, second.lost), (1, 0, 1))

    def test_refusal_before_admission(self):
        """A refusal without a rank is counted under rank -1."""
        summary = load_of("1 request_refused request=a code=100 retry_after_ms=0")
        self.assertEqual(
            [(row.rank, row.code) for row in summary.refusals], [(-1, 100)]
        )
        self.assertEqual(summary.ranks, [])

    def test_malformed_lines(self):
        """Malformed numbers and times are treated as missing."""
        text = "timestamp=yesterday event=attempt_ended request=a upstream=u "
        text += "sent=true total_ms=long outcome=success"
        summary = read_load([parse_line(text)])
        self.assertEqual(summary.upstreams[0].hold, Percentiles())

    def test_command(self):
        """The command prints tables or JSON, even for an empty log."""
        text = log(
            f"1 {ADMITTED} request=a rank=2",
            "1.9 attempt_ended request=a upstream=u2 outcome=success sent=true "
            "waited_ms=10 first_ms=80 total_ms=600",
        )
        summary = CliRunner().invoke(main, ["load"], text)
        self.assertEqual(summary.exit_code, 0, summary.output)
        self.assertIn("By rank:", summary.output)
        self.assertIn("1x 600/600/600", summary.output)
        as_json = CliRunner().invoke(main, ["load", "--json"], text)
        self.assertEqual(json.loads(as_json.output)["upstreams"][0]["sent"], 1)
        empty = CliRunner().invoke(main, ["load"], "")
        self.assertEqual(empty.output.count("none"), 4)


def load_tests(loader, tests, pattern):
    for module in (accepting, load):
        tests.addTests(doctest.DocTestSuite(module))
    return tests
