import asyncio
import contextlib
import json
import unittest

import aiohttp

from hemlockhoist.standins.engine import EngineStandin, expected_answer, prompt_text
from hemlockhoist.standins.engine_model import GENERATIONS
from hemlockhoist.standins.serving import serving

_MESSAGES = [{"role": "user", "content": "Which halls are free at nine?"}]
_ANSWER = expected_answer(prompt_text(_MESSAGES), 8)


class _Engine:
    """A simulated engine that is being served, and a client session."""

    def __init__(self, standin, session):
        self.standin = standin
        self.session = session
        self.url = standin.server.url

    def chat(self, request_id, stream=True, max_tokens=8):
        body = {"model": "m", "messages": _MESSAGES, "max_tokens": max_tokens}
        return self.session.post(
            self.url + "/v1/chat/completions",
            json={**body, "stream": stream},
            headers={"X-Request-Id": request_id},
        )

    async def get(self, path):
        async with self.session.get(self.url + path) as response:
            return await response.json()

    async def post(self, path, body):
        async with self.session.post(self.url + path, json=body) as response:
            return response.status, await response.json()

    async def faults(self, **faults):
        status, body = await self.post("/-/faults", faults)
        assert status == 200, body


@contextlib.asynccontextmanager
async def _engine(**options):
    standin = EngineStandin.from_config(GENERATIONS["g4"], **options)
    async with serving(standin), aiohttp.ClientSession() as session:
        yield _Engine(standin, session)


async def _read_events(response):
    """Return ``(offset, request id, text)`` per piece, and whether ``[DONE]`` came."""
    pieces, done = [], False
    with contextlib.suppress(aiohttp.ClientError):
        async for line in response.content:
            if line.startswith(b"id: "):
                offset = int(line[4:])
            elif line == b"data: [DONE]\n":
                done = True
            elif line.startswith(b"data: "):
                chunk = json.loads(line[6:])
                delta = chunk["choices"][0]["delta"]
                pieces.append((offset, chunk["id"], delta.get("content", "")))
    return pieces, done


def _text(pieces):
    return "".join(text for *_, text in pieces)


class EngineTests(unittest.IsolatedAsyncioTestCase):
    async def test_streamed_and_unstreamed_answers_agree(self):
        """Both forms return the complete expected text and the request id."""
        async with _engine(version="v7") as engine:
            async with engine.chat("a") as response:
                pieces, done = await _read_events(response)
                self.assertEqual(response.headers["X-Request-Id"], "a")
                self.assertEqual(response.headers["X-Upstream-Version"], "v7")
            self.assertTrue(done)
            self.assertEqual(_text(pieces), _ANSWER)
            self.assertEqual([offset for offset, *_ in pieces], list(range(9)))
            async with engine.chat("b", stream=False) as response:
                body = await response.json()
            self.assertEqual(body["choices"][0]["message"]["content"], _ANSWER)
            self.assertEqual(body["usage"]["completion_tokens"], 8)

    async def test_broken_stream_is_resumed(self):
        """Generation continues after a dropped connection; a resume gets the rest."""
        async with _engine() as engine:
            await engine.faults(break_streams=1, break_after_pieces=3)
            async with engine.chat("a") as response:
                pieces, done = await _read_events(response)
            self.assertEqual((len(pieces), done), (3, False))
            url = engine.url + "/v1/streams/a?offset=3"
            async with engine.session.get(url) as response:
                rest, done = await _read_events(response)
            self.assertTrue(done)
            self.assertEqual(_text(pieces + rest), _ANSWER)
            self.assertEqual((await engine.get("/-/runs"))["runs"], {"a": 1})

    async def test_resume_repeats_or_skips(self):
        """A shifted resume starts at the shifted offset."""
        async with _engine() as engine:
            async with engine.chat("a") as response:
                await response.read()
            for shift, first in ((-1, 2), (1, 4)):
                await engine.faults(shift_resumes=1, resume_shift=shift)
                url = engine.url + "/v1/streams/a?offset=3"
                async with engine.session.get(url) as response:
                    pieces, _ = await _read_events(response)
                self.assertEqual(pieces[0][0], first)

    async def test_crossed_answer_carries_the_other_id(self):
        """A response mixed up with another request carries that request's id."""
        async with _engine() as engine:
            async with engine.chat("a") as response:
                await response.read()
            for at_piece, head in ((0, "a"), (3, "b")):
                await engine.faults(cross_streams=1, cross_at_piece=at_piece)
                async with engine.chat("b") as response:
                    self.assertEqual(response.headers["X-Request-Id"], head)
                    pieces, _ = await _read_events(response)
                names = [name for _, name, _ in pieces[:8]]
                self.assertEqual(names, ["b"] * at_piece + ["a"] * (8 - at_piece))

    async def test_cancel_frees_the_engine(self):
        """A cancelled stream ends and no longer counts as in flight."""
        async with _engine() as engine:
            async with engine.chat("a", max_tokens=5_000) as response:
                await response.content.readuntil(b"\n\n")
                url = engine.url + "/v1/streams/a"
                await (await engine.session.delete(url)).release()
                _, done = await _read_events(response)
            self.assertFalse(done)
            self.assertEqual((await engine.get("/load"))["in_flight"], 0)
            self.assertEqual((await engine.get("/-/runs"))["cancelled"], {"a": 1})

    async def test_double_dispatch_is_counted(self):
        """A request that is sent twice runs twice and is listed under ``doubled``."""
        async with _engine() as engine:
            for _ in range(2):
                async with engine.chat("a") as response:
                    await response.read()
            self.assertEqual((await engine.get("/-/runs"))["doubled"], ["a"])

    async def test_load_report_lags_and_shows_leaving(self):
        """Load reports are delayed; requests begun while leaving are counted."""
        async with _engine() as engine:
            await engine.faults(load_lag_ms=200, state="leaving")
            async with engine.chat("a", max_tokens=2_000) as response:
                self.assertEqual(response.headers["X-Upstream-State"], "leaving")
                report = await engine.get("/load")
                self.assertEqual((report["in_flight"], report["state"]), (0, "live"))
                await asyncio.sleep(0.25)
                report = await engine.get("/load")
                self.assertEqual((report["in_flight"], report["state"]), (1, "leaving"))
            runs = await engine.get("/-/runs")
            self.assertEqual(len(runs["begun_after_leaving_ms"]), 1)

    async def test_failures_of_one_version(self):
        """Failures limited to one version do not affect another version."""
        async with _engine(version="v2") as engine:
            for version, failed in (("v2", 2), ("v1", 0)):
                await engine.faults(only_version=version, fail_share=0.5)
                statuses = []
                for i in range(4):
                    async with engine.chat(f"{version}/{i}", stream=False) as response:
                        statuses.append(response.status)
                self.assertEqual(statuses.count(500), failed)

    async def test_orders_and_fencing(self):
        """An outdated fencing token is refused unless the engine ignores fencing."""
        for checks, status in ((True, 409), (False, 202)):
            async with _engine(checks_fencing=checks) as engine:
                order = {"fencing": 5, "order": "load_version", "version": "v2"}
                self.assertEqual((await engine.post("/orders", order))[0], 202)
                self.assertEqual((await engine.get("/orders"))["version"], "v2")
                late = {**order, "fencing": 4, "version": "v1"}
                self.assertEqual((await engine.post("/orders", late))[0], status)
                bad = {"fencing": 9, "order": "dance"}
                self.assertEqual((await engine.post("/orders", bad))[0], 400)

    async def test_cache_events_come_late_and_with_gaps(self):
        """Sequence numbers show dropped events; events within the lag are hidden."""
        async with _engine() as engine:
            for i in range(4):
                messages = [{"role": "user", "content": f"{i}" * 600}]
                body = {"model": "m", "messages": messages, "max_tokens": 1}
                await engine.post("/v1/chat/completions", body)
            await engine.faults(cache_gap_every=2)
            events = (await engine.get("/cache-events?since=0"))["events"]
            self.assertEqual([event["sequence"] for event in events], [1, 3])
            await engine.faults(cache_lag_ms=60_000)
            self.assertEqual((await engine.get("/cache-events"))["events"], [])

    async def test_refuses_connections_for_a_while(self):
        """Connections are refused for the set time, then accepted on the same port."""
        async with _engine() as engine:
            await engine.faults(refuse_ms=150)
            with self.assertRaises(aiohttp.ClientConnectorError):
                await engine.get("/load")
            await asyncio.sleep(0.3)
            self.assertEqual((await engine.get("/load"))["state"], "live")

    async def test_malformed_request(self):
        """A body that is not a chat request gets status 400 and runs nothing."""
        async with _engine() as engine:
            for body in ({}, {"messages": [1]}, [], {"messages": [{"role": "user"}]}):
                status, _ = await engine.post("/v1/chat/completions", body)
                self.assertEqual(status, 400)
            self.assertEqual((await engine.get("/-/runs"))["runs"], {})
