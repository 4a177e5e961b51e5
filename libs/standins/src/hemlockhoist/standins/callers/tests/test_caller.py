import unittest

from aiohttp import web

from hemlockhoist.standins.answers import answer_pieces, prompt_text
from hemlockhoist.standins.callers import Caller, CallerConfig, CallOutcome, tier_table
from hemlockhoist.standins.service import expected_reply
from hemlockhoist.standins.serving import serving

_TOKENS = 6


class _Host:
    """Simulated host that answers each request with the next handler of a script."""

    def __init__(self, name, fleet):
        self.name = name
        self.fleet = fleet
        self.script = []
        self.keys = []
        self.refuses = False
        self.server = None
        fleet.append(self)

    def application(self):
        app = web.Application()
        app.router.add_get("/v1/hosts", self._hosts)
        app.router.add_route("*", "/{path:.*}", self._call)
        return app

    async def _hosts(self, request):
        assert request.headers["Authorization"] == "Bearer K"
        if self.refuses:
            return await _answer(403, 102, "not run")(request)
        addresses = [host.server.address for host in self.fleet]
        answer = {"hosts": addresses, "keep_ms": 60_000, "host": self.server.address}
        return web.json_response({**answer, "key_prefix": f"{self.name}.1"})

    async def _call(self, request):
        self.keys.append(request.headers.get("Idempotency-Key", ""))
        return await self.script.pop(0)(request)


def _stream(first, until, end=""):
    """Return a handler that streams pieces and then sends ``end`` or disconnects."""

    async def handle(request):
        content = "Which halls are free?"
        prompt = prompt_text([{"role": "user", "content": content}])
        pieces = answer_pieces(prompt, _TOKENS)
        head = {"X-Stream-Token": "tok", "Content-Type": "text/event-stream"}
        response = web.StreamResponse(headers=head)
        await response.prepare(request)
        for i in range(first, until):
            data = f'{{"choices": [{{"delta": {{"content": "{pieces[i]}"}}}}]}}'
            await response.write(f"id: {i}\ndata: {data}\n\n".encode())
        if end:
            await response.write(end.encode())
        else:
            request.transport.abort()
        return response

    return handle


def _answer(status, code, ran, retry_after=None):
    """Return a handler that sends an error response."""

    async def handle(_request):
        headers = {"X-Result-Code": str(code), "X-Request-Ran": ran}
        if retry_after is not None:
            headers["Retry-After"] = retry_after
        body = {"error": {"message": "no"}}
        return web.json_response(body, status=status, headers=headers)

    return handle


async def _completion(_request):
    prompt = prompt_text([{"role": "user", "content": "Which halls are free?"}])
    message = {"content": "".join(answer_pieces(prompt, _TOKENS))}
    return web.json_response({"choices": [{"message": message}]})


async def _drop(request):
    request.transport.abort()
    return web.Response()


async def _reply(request):
    reply = expected_reply("POST", "/book", await request.read())
    return web.json_response({"reply": reply})


_DONE = "data: [DONE]\n\n"
_MOVED = 'event: moved\ndata: {"stream_token": "tok", "offset": 2}\n\n'
_ERROR = 'event: error\ndata: {"error": {"code": 301}}\n\n'


class CallerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        fleet = []
        self.hosts = [_Host("one", fleet), _Host("two", fleet)]
        self.serving = [serving(host) for host in self.hosts]
        for item in self.serving:
            await item.__aenter__()
        seeds = tuple(host.server.address for host in self.hosts)
        config = CallerConfig(seeds=seeds, key="K", max_wait_ms=3_000, tier="batch")
        self.caller = Caller.from_config(config)
        await self.caller.start()

    async def asyncTearDown(self):
        await self.caller.close()
        for item in self.serving:
            await item.__aexit__(None, None, None)

    def _set_script(self, *handlers):
        """Set one script that all hosts share, in the order of their requests."""
        script = list(handlers)
        for host in self.hosts:
            host.script = script

    async def _chat(self, *handlers, stream=True):
        self._set_script(*handlers)
        return await self.caller.chat(
            "m", "Which halls are free?", _TOKENS, stream=stream
        )

    async def _book(self, *handlers):
        self._set_script(*handlers)
        return await self.caller.book("halls", "/book", b"hall 3")

    async def test_whole_stream(self):
        """An uninterrupted stream is whole after one attempt."""
        record = await self._chat(_stream(0, 6, _DONE))
        self.assertEqual((record.outcome, record.attempts), (CallOutcome.WHOLE, 1))
        self.assertTrue(record.in_time)

    async def test_whole_unstreamed_answer(self):
        """A non-streaming answer has no first piece that could be late."""
        record = await self._chat(_completion, stream=False)
        self.assertEqual(
            (record.outcome, record.first_output_ms), (CallOutcome.WHOLE, -1)
        )
        self.assertTrue(record.in_time)

    async def test_broken_and_moved_streams_are_resumed(self):
        """After a disconnect or a move the caller resumes at its offset."""
        record = await self._chat(
            _stream(0, 2, _MOVED), _stream(2, 4), _stream(3, 6, _DONE)
        )
        self.assertIs(record.outcome, CallOutcome.WHOLE)
        self.assertEqual((record.resumes, record.moves), (2, 1))

    async def test_cut_and_wrong_answers_are_recorded(self):
        """An incomplete answer is recorded as cut, one with another text as wrong."""
        record = await self._chat(_stream(0, 2, _ERROR))
        self.assertIs(record.outcome, CallOutcome.CUT)
        record = await self._chat(_stream(0, 5, _DONE))
        self.assertIs(record.outcome, CallOutcome.WRONG)

    async def test_retry_after(self):
        """A refusal with Retry-After is retried; one without it ends the request."""
        busy = _answer(503, 200, "not run", "1")
        record = await self._chat(busy, _stream(0, 6, _DONE))
        self.assertIs(record.outcome, CallOutcome.WHOLE)
        self.assertGreaterEqual(record.total_ms, 1_000)
        record = await self._chat(_answer(404, 103, "not run"))
        self.assertIs(record.outcome, CallOutcome.REFUSED)

    async def test_idempotent_requests_are_sent_again(self):
        """A chat or lookup of unknown outcome is sent again up to MAX_RESENDS times."""
        unknown = _answer(502, 302, "outcome unknown")
        record = await self._chat(unknown, _stream(0, 6, _DONE))
        self.assertEqual((record.outcome, record.resends), (CallOutcome.WHOLE, 1))
        self._set_script(*[unknown] * 3)
        record = await self.caller.lookup("halls", "/availability")
        self.assertEqual((record.outcome, record.attempts), (CallOutcome.UNKNOWN, 3))

    async def test_refused_host_query(self):
        """A caller whose host query is refused ends without an attempt."""
        for host in self.hosts:
            host.refuses = True
        record = await self._chat()
        self.assertEqual((record.outcome, record.attempts), (CallOutcome.REFUSED, 0))

    async def test_booking_keeps_its_key(self):
        """
        A host dies during a booking. The caller sends it to another host under the
        same key, so that the fleet recognises it as the same booking.
        """
        record = await self._book(_drop, _reply)
        self.assertIs(record.outcome, CallOutcome.WHOLE)
        keys = {key for host in self.hosts for key in host.keys}
        self.assertEqual(keys, {record.key})
        self.assertRegex(record.key, r"^(one|two)\.1\.\w+$")

    async def test_booking_of_unknown_outcome(self):
        """After a lost response, a refusal does not prove that nothing ran."""
        record = await self._book(_drop, _answer(400, 108, "not run"))
        self.assertIs(record.outcome, CallOutcome.UNKNOWN)
        record = await self._book(_answer(502, 302, "outcome unknown"))
        self.assertIs(record.outcome, CallOutcome.UNKNOWN)
        record = await self._book(_answer(502, 300, "run"))
        self.assertIs(record.outcome, CallOutcome.FAILED)

    async def test_table(self):
        """The table has one line for each tier, with its counts."""
        await self._chat(_stream(0, 6, _DONE))
        await self._chat(_answer(404, 103, "not run"))
        head, line = tier_table(self.caller.records).splitlines()
        self.assertIn("refused", head)
        self.assertEqual(line.split()[:5], ["batch", "2", "1", "1", "1"])
