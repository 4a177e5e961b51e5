import unittest

from hemlockhoist.base import InvariantLog, PropertyViolation
from hemlockhoist.decisions.membership import UpstreamView
from hemlockhoist.decisions.work import Upstream, UpstreamState


def upstream(number, state=UpstreamState.LIVE):
    return Upstream(
        upstream_id=f"u{number}", pool="m", version="1", address="", state=state
    )


class UpstreamViewTests(unittest.TestCase):
    def setUp(self):
        self.view = UpstreamView.from_config(InvariantLog(True))
        self.view.set_list([upstream(1), upstream(2)], 0)

    def test_own_report_applies_at_once_and_overrides_a_stale_list(self):
        """Guards against sending requests to an engine that shuts down.

        The engine reports that it is leaving; the list, seconds late, still has it as
        live.
        """
        self.view.on_leaving("u1", 100)
        self.view.set_list([upstream(1), upstream(2)], 200)
        self.assertEqual(set(self.view.assignable()), {"u2"})
        with self.assertRaises(PropertyViolation):
            self.view.check_grant("u1", 10_000)

    def test_list_alone_marks_an_upstream_as_leaving(self):
        """An upstream reported as leaving only by the list gets no new work."""
        self.view.set_list([upstream(1, UpstreamState.LEAVING), upstream(2)], 200)
        self.assertEqual(set(self.view.assignable()), {"u2"})

    def test_empty_list_removes_no_upstream(self):
        """An empty or unavailable list leaves the upstreams unchanged."""
        self.view.set_list([], 100)
        self.view.set_list(None, 200)
        self.assertEqual(set(self.view.assignable()), {"u1", "u2"})
