"""Tests of the own interface's answers whose end only a connection shows."""

import asyncio
import json

from hemlockhoist.standins.published.raw import exchange_raw
from hemlockhoist.standins.service import expected_reply
from hemlockhoist.standins.tests.test_host_process import (
    CutHostCase,
    HostCase,
)

_BOOKINGS = "/services/reservations/bookings"
_AVAILABILITY = "/services/reservations/availability"
_CALLER = {"Authorization": "Bearer demo-key-large"}
_CHAT = "/v1/chat/completions"
_PIECES = 8
_NO_FAULTS = {
    "close_streams": 0,
    "close_after_pieces": 0,
    "close_unframed": False,
}


def _is_whole(answer, method, path, body=b""):
    path = path.removeprefix("/services/reservations")
    try:
        return json.loads(answer.body)["reply"] == expected_reply(method, path, body)
    except ValueError:
        return False


class _RawCalls:
    """Sends calls whose answers hide nothing; a part of a test case."""

    async def call(self, method, path, headers=_CALLER, body=b"", version="HTTP/1.1"):
        """Send a call to the host; return the ``RawAnswer``."""
        address = self.host.context.identity.address
        fields = {
            "Host": address,
            "Connection": "close",
            "Content-Length": str(len(body)),
            **headers,
        }
        lines = [
            f"{method} {path} {version}",
            *(f"{k}: {v}" for k, v in fields.items()),
        ]
        head = "\r\n".join([*lines, "", ""]).encode()
        return await exchange_raw(address, head + body)

    def close_answers(self, count=1, closed=1, down_ms=0):
        """Let the service send answers without a length, and close some too early."""
        faults = self.service.faults
        faults.unframed, faults.close_in_body = count, closed
        faults.close_down_ms = down_ms


class ServiceEndTests(_RawCalls, HostCase):
    async def test_closed_body_is_not_vouched_for(self):
        """Guards against a part of a body that gets a length and looks complete."""
        for method, path in (("GET", _AVAILABILITY), ("POST", _BOOKINGS)):
            self.close_answers()
            headers = await self._key_headers("closed")
            answer = await self.call(method, path, headers)
            with self.subTest(method=method):
                self.assertEqual(answer.status, 200)
                self.assertFalse(_is_whole(answer, method, path))
                self.assertTrue(answer.is_unframed)

    async def test_replayed_part_of_a_body_is_not_vouched_for(self):
        """Guards against a stored part that repeated bookings get as the whole answer."""
        self.close_answers()
        headers = await self._key_headers("replayed")
        first = await self.call("POST", _BOOKINGS, headers)
        again = await self.call("POST", _BOOKINGS, headers)
        self.assertEqual(self._runs(), [1])
        self.assertEqual((again.status, again.body), (200, first.body))
        self.assertTrue(again.is_unframed)

    async def test_body_of_a_service_that_is_gone_is_not_passed_on(self):
        """Guards against a part of a body that a killed service left behind."""
        for method, path in (("GET", _AVAILABILITY), ("POST", _BOOKINGS)):
            headers = await self._key_headers(f"gone-{method}")
            self.close_answers(down_ms=300)
            for _ in range(2 if method == "POST" else 1):
                answer = await self.call(method, path, headers)
                with self.subTest(method=method):
                    self.assertEqual(answer.status, 502)
                    self.assertNotIn(b"reply", answer.body)
            while self.service.server._site is None:
                await asyncio.sleep(0.02)
        self.assertEqual(self._runs(), [1, 1])

    async def test_whole_body_without_a_length_is_served(self):
        """Guards against whole answers that are lost as their end is uncertain."""
        for method, path in (("GET", _AVAILABILITY), ("POST", _BOOKINGS)):
            self.close_answers(closed=0)
            headers = await self._key_headers("whole")
            answer = await self.call(method, path, headers, b"hall 1")
            with self.subTest(method=method):
                self.assertEqual((answer.status, answer.is_reset), (200, False))
                self.assertTrue(_is_whole(answer, method, path, b"hall 1"))
                self.assertEqual(answer.header("X-Result-Code"), "0")


class RelayedServiceEndTests(_RawCalls, CutHostCase):
    async def test_closed_body_through_another_host_is_not_vouched_for(self):
        """Guards against a part of a body that gets a length and looks complete."""
        for method, path in (("GET", _AVAILABILITY), ("POST", _BOOKINGS)):
            self.close_answers()
            headers = await self._key_headers("relayed")
            answer = await self.call(method, path, headers)
            with self.subTest(method=method):
                self.assertEqual(answer.status, 200)
                self.assertTrue(answer.is_unframed)


class ChatEndTests(_RawCalls, HostCase):
    async def chat(self, is_stream, version="HTTP/1.1", **faults):
        for name, value in {**_NO_FAULTS, **faults}.items():
            setattr(self.engine.core.faults, name, value)
        question = {
            "model": "assistant",
            "messages": [{"role": "user", "content": "hall?"}],
            "max_tokens": _PIECES,
            "stream": is_stream,
        }
        body = json.dumps(question).encode()
        return await self.call("POST", _CHAT, body=body, version=version)

    async def test_stream_closed_before_its_end_mark_is_resumed(self):
        """Guards against an engine's early end that looks like the end of the stream."""
        whole = await self.chat(is_stream=True)
        for is_unframed in (False, True):
            for version in ("HTTP/1.1", "HTTP/1.0"):
                answer = await self.chat(
                    True,
                    version,
                    close_streams=1,
                    close_after_pieces=3,
                    close_unframed=is_unframed,
                )
                with self.subTest(is_unframed=is_unframed, version=version):
                    self.assertEqual(self.engine.core.faults.close_streams, 0)
                    self.assertEqual(answer.status, 200)
                    self.assertEqual(_offsets(answer), _offsets(whole))
                    self.assertEqual(answer.body.count(b"data: [DONE]"), 1)

    async def test_stream_that_always_closes_early_ends_with_an_error(self):
        """Guards against an engine's early end that looks like the end of the stream."""
        for is_unframed in (False, True):
            for version in ("HTTP/1.1", "HTTP/1.0"):
                answer = await self.chat(
                    True,
                    version,
                    close_streams=100,
                    close_unframed=is_unframed,
                )
                with self.subTest(is_unframed=is_unframed, version=version):
                    self.assertNotIn(b"data: [DONE]", answer.body)
                    self.assertTrue(
                        answer.status != 200 or b"event: error" in answer.body
                    )

    async def test_collected_answer_of_a_stream_closed_early_is_whole(self):
        """Guards against a collected answer that lacks the end of its text."""
        whole = await self.chat(is_stream=False)
        for is_unframed in (False, True):
            answer = await self.chat(
                False, close_streams=1, close_after_pieces=3, close_unframed=is_unframed
            )
            with self.subTest(is_unframed=is_unframed):
                self.assertEqual(answer.status, 200)
                self.assertEqual(_usage(answer), _usage(whole))

    async def test_collected_answer_of_a_stream_that_always_closes_early_fails(self):
        """Guards against a collected answer that lacks the end of its text."""
        for is_unframed in (False, True):
            answer = await self.chat(
                False, close_streams=100, close_unframed=is_unframed
            )
            with self.subTest(is_unframed=is_unframed):
                self.assertEqual(answer.status, 502)


def _offsets(answer):
    lines = answer.body.split(b"\n")
    return [int(line[3:]) for line in lines if line.startswith(b"id:")]


def _usage(answer):
    content = json.loads(answer.body)
    return content["usage"]["completion_tokens"], content["choices"][0]["finish_reason"]
