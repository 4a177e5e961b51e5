import asyncio
import types

from hemlockhoist.base import Clock
from hemlockhoist.base.testing import PausedTestCase
from hemlockhoist.decisions.entry import RelayCause, UpstreamLinks
from hemlockhoist.relays.paths import UpstreamPaths


class _Paths(UpstreamPaths):
    """Paths of a host beside one that can't reach the upstream either."""

    __slots__ = ("check_count",)

    async def _verify(self, call):
        self.check_count += 1
        await asyncio.sleep(0.01)
        return RelayCause.UNREACHABLE


class FaultCheckTests(PausedTestCase):
    async def test_connections_that_break_together_share_one_answer(self):
        """Guards against an end that counts for the first of two broken answers only.

        The first check finds the links to all of a small pool lost.
        """

        async def probe(address):
            await asyncio.sleep(0.001)
            return False

        context = types.SimpleNamespace(
            clock=Clock(asyncio.get_running_loop()),
            identity=types.SimpleNamespace(failure_domain="a", incarnation="i"),
        )
        links = UpstreamLinks()
        links.set_listed({"u1"})
        client = types.SimpleNamespace(
            probe=probe, on_connected=None, on_failed=None, connector=None
        )
        paths = _Paths(client, links, None, None, context, lambda regions: ["h2"], None)
        paths.check_count = 0
        call = types.SimpleNamespace(
            pool="p", upstream_id="u1", address="127.0.0.1:1", regions=()
        )
        first = asyncio.create_task(paths.find_fault(call))
        await asyncio.sleep(0.005)
        found = await asyncio.gather(first, paths.find_fault(call))
        self.assertEqual(found, [(False, True)] * 2)
        self.assertEqual(paths.check_count, 1)
        paths._prober.cancel()
