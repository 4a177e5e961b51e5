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

    def test_own_word_counts_at_once_and_over_a_stale_list(self):
        """
        An engine says that it shuts down; the list, seconds late, still calls it live.
        Going by the list would send it requests that it then cuts.
        """
        self.view.on_leaving("u1", 100)
        self.view.set_list([upstream(1), upstream(2)], 200)
        self.assertEqual(set(self.view.assignable()), {"u2"})
        with self.assertRaises(PropertyViolation):
            self.view.check_grant("u1", 10_000)

    def test_list_alone_is_enough(self):
        """An upstream that only the list calls leaving gets no new work."""
        self.view.set_list([upstream(1, UpstreamState.LEAVING), upstream(2)], 200)
        self.assertEqual(set(self.view.assignable()), {"u2"})

    def test_empty_list_is_not_all_are_gone(self):
        """An empty or lost list leaves the upstreams as they were."""
        self.view.set_list([], 100)
        self.view.set_list(None, 200)
        self.assertEqual(set(self.view.assignable()), {"u1", "u2"})
