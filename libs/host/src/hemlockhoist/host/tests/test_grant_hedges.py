import asyncio

import msgspec

from hemlockhoist.base import Refused
from hemlockhoist.decisions import Upstream
from hemlockhoist.host.tests.test_grants import GrantHarness
from hemlockhoist.messages import GrantCancel, GrantQueued, GrantRequest

WAIT_MS = 1_000


class GrantHedgeTests(GrantHarness):
    """Hedges at a home with two upstreams of one slot each."""

    upstreams = tuple(
        Upstream(upstream_id=name, pool="chat", version="v1", address="127.0.0.1:1")
        for name in ("u", "v")
    )

    def _brief(self, request_id):
        usual = super()._brief(request_id)
        is_hedge = request_id.startswith("hedge")

        def brief(now_ms):
            return msgspec.structs.replace(
                usual(now_ms), is_hedge=is_hedge, run_number=1 + is_hedge
            )

        return brief

    async def test_hedge_is_granted_or_refused_at_once(self):
        """Guards against a hedge in the queue, where it is served after its request."""
        await self._acquire("hedge-1", WAIT_MS)
        started_ms = self.clock.now_ms()
        with self.assertRaises(Refused):
            await self._acquire("hedge-2", WAIT_MS)
        self.assertLess(self.clock.now_ms() - started_ms, 50)
        self.assertEqual(self.network.homes["h1"].counts(), (0, 1))
        await self._acquire("r1", WAIT_MS)

    async def test_hedge_that_a_home_of_an_earlier_release_queues_is_cancelled(self):
        """Guards against a slot that is held for a hedge that nobody waits for."""
        queued = GrantQueued(pool="chat", request_id="hedge-1")
        self.network.should_drop = lambda item: isinstance(item, GrantRequest)
        acquired = asyncio.create_task(self._acquire("hedge-1", WAIT_MS))
        await asyncio.sleep(0.01)
        self.client.on_message(queued, 0)
        with self.assertRaises(Refused):
            await acquired
        cancelled = [m for m in self.network.sent if isinstance(m, GrantCancel)]
        self.assertEqual([m.request_id for m in cancelled], ["hedge-1"])
