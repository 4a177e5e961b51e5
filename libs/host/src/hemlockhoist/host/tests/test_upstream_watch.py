import unittest

from hemlockhoist.decisions import Upstream, UpstreamState
from hemlockhoist.host.upstream_watch import mark_evacuated


def upstream(name, state=UpstreamState.LIVE):
    return Upstream(
        upstream_id=name,
        pool="halls",
        version="v1",
        address="127.0.0.1:1",
        failure_domain=name[0],
        state=state,
    )


class EvacuationTests(unittest.TestCase):
    def test_upstreams_of_evacuated_domains_are_marked(self):
        """Upstreams of an evacuated domain are marked, or would still get requests."""
        leaving = upstream("a2", UpstreamState.LEAVING)
        found = mark_evacuated(
            [upstream("a1"), leaving, upstream("b1")], {"a": "repairs"}
        )
        states = {item.upstream_id: item.state for item in found}
        self.assertIs(states["a1"], UpstreamState.EVACUATED)
        self.assertIs(states["a2"], UpstreamState.LEAVING)
        self.assertIs(states["b1"], UpstreamState.LIVE)
