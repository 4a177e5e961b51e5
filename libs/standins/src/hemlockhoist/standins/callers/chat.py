"""Chat request of a simulated caller, with retries and stream resumption."""

import asyncio
import json

import aiohttp

from hemlockhoist.standins.answers import expected_answer, prompt_text
from hemlockhoist.standins.callers.directory import HostQueryRefused, NoHostAnswered
from hemlockhoist.standins.callers.records import MAX_RESENDS, CallOutcome
from hemlockhoist.standins.callers.responses import read_events, read_refusal

_CHAT_PATH = "/v1/chat/completions"
_STREAM_PATH = "/v1/streams/"
_TOKEN_HEADER = "X-Stream-Token"
_RETRY_DELAY_MS = 100
_MS_PER_S = 1000


class ChatCall:
    """One chat request over all its attempts.

    A broken stream is resumed at another host with the token of the stream. A request
    that failed before its response headers arrived is sent again: a chat completion is
    idempotent, so a second run does no harm.

    Parameters
    ==========
    caller : Caller
    record : CallRecord
    body : dict
    """

    __slots__ = (
        "_body",
        "_caller",
        "_done",
        "_next_offset",
        "_pieces",
        "_record",
        "_token",
    )

    def __init__(self, caller, record, body):
        self._caller = caller
        self._record = record
        self._body = body
        self._token = ""
        self._next_offset = 0
        self._pieces = []
        self._done = False

    async def run(self):
        """Make attempts until the request ends, and record its outcome."""
        record = self._record
        while not self._done:
            delay_ms = await self._attempt()
            if delay_ms is None:
                return
            if not self._done:
                await asyncio.sleep(delay_ms / _MS_PER_S)
        prompt = prompt_text(self._body["messages"])
        expected = expected_answer(prompt, self._body["max_tokens"])
        is_expected = "".join(self._pieces) == expected
        record.outcome = CallOutcome.WHOLE if is_expected else CallOutcome.WRONG

    def record_timeout(self):
        """Record the outcome when the caller's wait limit is reached."""
        if self._pieces:
            self._record.outcome = CallOutcome.CUT
        elif self._record.refusals and self._record.refusals[-1].not_run:
            self._record.outcome = CallOutcome.REFUSED
        else:
            self._record.outcome = CallOutcome.UNKNOWN

    async def _attempt(self):
        """Make one attempt; return the delay before the next, or None at the end."""
        directory = self._caller.directory
        try:
            host = await directory.pick()
        except NoHostAnswered:
            return _RETRY_DELAY_MS
        except HostQueryRefused as error:
            return self._end_with_refusal(error.refusal)
        try:
            return await self._exchange(host)
        except (aiohttp.ClientError, TimeoutError, OSError):
            directory.record_failure(host)
            return _RETRY_DELAY_MS

    async def _exchange(self, host):
        self._record.attempts += 1
        async with self._request(host) as response:
            if response.status != 200:
                return await self._handle_refusal(response)
            self._record_head(response)
            if response.content_type == "text/event-stream":
                return await self._read_stream(response)
            message = json.loads(await response.read())["choices"][0]["message"]
            self._pieces.append(message["content"])
            self._done = True
            return 0

    def _request(self, host):
        session, headers = self._caller.session, self._caller.headers
        if not self._token:
            url = f"http://{host}{_CHAT_PATH}"
            return session.post(url, json=self._body, headers=headers)
        self._record.resumes += 1
        url = f"http://{host}{_STREAM_PATH}{self._token}?offset={self._next_offset}"
        return session.get(url, headers=headers)

    def _record_head(self, response):
        self._token = response.headers.get(_TOKEN_HEADER, self._token)
        self._record.request_ids.append(response.headers.get("X-Request-Id", ""))
        version = response.headers.get("X-Upstream-Version", "")
        self._record.upstream_version = version or self._record.upstream_version

    async def _read_stream(self, response):
        async for event in read_events(response):
            if event.name == "moved":
                self._record.moves += 1
                return 0
            if event.name == "error":
                self._end_with_error(event)
                return None
            if event.done:
                self._done = True
                return 0
            if event.offset == self._next_offset:
                self._next_offset += 1
                self._record_piece(event.text())
        return 0

    def _end_with_error(self, event):
        error = json.loads(event.data)["error"]
        self._record.outcome = CallOutcome.CUT if self._pieces else CallOutcome.FAILED
        self._record.request_ids.append(error.get("request_id", ""))

    async def _handle_refusal(self, response):
        refusal = await read_refusal(response)
        if refusal.retry_after_ms < 0:
            return self._end_with_refusal(refusal)
        self._record.refusals.append(refusal)
        return refusal.retry_after_ms

    def _end_with_refusal(self, refusal):
        self._record.refusals.append(refusal)
        if self._pieces:
            self._record.outcome = CallOutcome.CUT
        elif refusal.not_run:
            self._record.outcome = CallOutcome.REFUSED
        elif self._record.resends < MAX_RESENDS:
            self._record.resends += 1
            return _RETRY_DELAY_MS
        else:
            self._record.outcome = CallOutcome.FAILED
        return None

    def _record_piece(self, text):
        if self._record.first_output_ms < 0:
            now_ms = self._caller.clock.now_ms()
            self._record.first_output_ms = now_ms - self._record.started_ms
        self._pieces.append(text)
