"""One chat request of an honest caller, over breaks, moves and refusals."""

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
_PAUSE_MS = 100
_MS_PER_S = 1000


class ChatCall:
    """One chat request.

    A broken stream is resumed at another host with the answer's token. A request that
    broke before the head of its answer is sent anew: a chat completion changes
    nothing, so that a second run does no harm.

    Parameters
    ==========
    caller : Caller
    record : CallRecord
    body : dict
    """

    __slots__ = ("_body", "_caller", "_done", "_next", "_pieces", "_record", "_token")

    def __init__(self, caller, record, body):
        self._caller = caller
        self._record = record
        self._body = body
        self._token = ""
        self._next = 0
        self._pieces = []
        self._done = False

    async def run(self):
        """Make attempts until there is an end; leave it in the record."""
        record = self._record
        while not self._done:
            pause_ms = await self._attempt()
            if pause_ms is None:
                return
            if not self._done:
                await asyncio.sleep(pause_ms / _MS_PER_S)
        prompt = prompt_text(self._body["messages"])
        whole = expected_answer(prompt, self._body["max_tokens"])
        right = "".join(self._pieces) == whole
        record.outcome = CallOutcome.WHOLE if right else CallOutcome.WRONG

    def record_timeout(self):
        """Note the end of the caller's patience."""
        if self._pieces:
            self._record.outcome = CallOutcome.CUT
        elif self._record.refusals and self._record.refusals[-1].not_run:
            self._record.outcome = CallOutcome.REFUSED
        else:
            self._record.outcome = CallOutcome.UNKNOWN

    async def _attempt(self):
        """Make one attempt; return the pause before the next, None at the end."""
        directory = self._caller.directory
        try:
            host = await directory.pick()
        except NoHostAnswered:
            return _PAUSE_MS
        except HostQueryRefused as error:
            return self._end_with_refusal(error.refusal)
        try:
            return await self._exchange(host)
        except (aiohttp.ClientError, TimeoutError, OSError):
            directory.record_failure(host)
            return _PAUSE_MS

    async def _exchange(self, host):
        self._record.attempts += 1
        async with self._request(host) as response:
            if response.status != 200:
                return await self._refused(response)
            self._note_head(response)
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
        url = f"http://{host}{_STREAM_PATH}{self._token}?offset={self._next}"
        return session.get(url, headers=headers)

    def _note_head(self, response):
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
            if event.offset == self._next:
                self._next += 1
                self._note_piece(event.text())
        return 0

    def _end_with_error(self, event):
        error = json.loads(event.data)["error"]
        self._record.outcome = CallOutcome.CUT if self._pieces else CallOutcome.FAILED
        self._record.request_ids.append(error.get("request_id", ""))

    async def _refused(self, response):
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
            return _PAUSE_MS
        else:
            self._record.outcome = CallOutcome.FAILED
        return None

    def _note_piece(self, text):
        if self._record.first_output_ms < 0:
            now_ms = self._caller.clock.now_ms()
            self._record.first_output_ms = now_ms - self._record.started_ms
        self._pieces.append(text)
