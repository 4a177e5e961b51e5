import unittest

import aiohttp

from hemlockhoist.standins.service import ServiceStandin, expected_reply
from hemlockhoist.standins.serving import serving


class ServiceTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.standin = ServiceStandin.from_config(work_ms=1)
        self.serving = serving(self.standin)
        await self.serving.__aenter__()
        self.session = aiohttp.ClientSession(self.standin.server.url)

    async def asyncTearDown(self):
        await self.session.close()
        await self.serving.__aexit__(None, None, None)

    async def _book(self, key):
        headers = {"Idempotency-Key": key}
        call = self.session.post("/book?hall=3", data=b"9:00", headers=headers)
        async with call as response:
            return response.status, await response.json()

    async def _faults(self, **faults):
        async with self.session.post("/-/faults", json=faults) as response:
            self.assertEqual(response.status, 200)

    async def test_runs_and_replies(self):
        """A call runs once under its key and returns the expected reply."""
        status, body = await self._book("k")
        self.assertEqual(status, 200)
        self.assertEqual(body["reply"], expected_reply("POST", "/book?hall=3", b"9:00"))
        async with self.session.get("/-/runs") as response:
            counts = await response.json()
        self.assertEqual((counts["runs"], counts["doubled"]), ({"k": 1}, []))

    async def test_failure_without_and_after_the_run(self):
        """Both calls fail with status 500; only the second has run."""
        await self._faults(fail_before=1)
        self.assertEqual((await self._book("a"))[0], 500)
        await self._faults(fail_after=1)
        self.assertEqual((await self._book("b"))[0], 500)
        self.assertEqual(dict(self.standin.runs.begun), {"b": 1})

    async def test_dropped_connection_without_and_after_the_run(self):
        """Both connections are dropped; only the second call has run."""
        for fault, key in (("drop_before", "a"), ("drop_after", "b")):
            await self._faults(**{fault: 1})
            with self.assertRaises(aiohttp.ClientError):
                await self._book(key)
        self.assertEqual(dict(self.standin.runs.begun), {"b": 1})

    async def test_share_of_failures(self):
        """The set fraction of calls fails, at even intervals."""
        await self._faults(fail_share=0.25)
        statuses = [(await self._book(str(i)))[0] for i in range(8)]
        self.assertEqual(statuses, [200, 200, 200, 500] * 2)

    async def test_unknown_fault(self):
        """A misspelt fault is refused; else a test would run without its fault."""
        async with self.session.post("/-/faults", json={"slw_ms": 1}) as response:
            self.assertEqual(response.status, 400)
