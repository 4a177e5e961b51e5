"""End-to-end tests of second answers on connections that carry several requests."""

import asyncio
import contextlib
import itertools

from hemlockhoist.base.testing import PausedSocketTestCase
from hemlockhoist.standins.published.endless import chunk
from hemlockhoist.standins.published.keep_alive import KeepAlive
from hemlockhoist.standins.published.raw import LAST_CHUNK, RawReplica, call_raw
from hemlockhoist.standins.published.site import Site, route

ROUTES = [
    route("read", "reservas", max_attempts=3),
    route("book", "reservas", kind="non_idempotent"),
    route("chat", "reservas", kind="streaming", resumable=True, max_attempts=3),
]
LENGTH = "Content-Length: {}\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"
UNFRAMED = "Connection: close\r\n"
FRAMINGS = ("length", "chunked", "unframed")
MOMENTS = (
    "at once",
    "idle",
    "with the next answer",
    "before the next answer",
    "behind the next head",
    "in the next body",
    "right behind the next answer",
    "after the next answer",
)
PLAIN = b"a second answer of the upstream"
OWN = b"the whole answer to one request, of " + b"x" * 400 + b" and its end"
EVENTS = [b"id: %d\ndata: piece %d\n\n" % (number, number) for number in range(1, 7)]
PAUSE_S = 0.005


def framed(head, framing, parts):
    """Return a whole answer as its head and the parts of its framed body."""
    if framing == "chunked":
        return [head(CHUNKED), *(chunk(part) for part in parts), LAST_CHUNK]
    if framing == "unframed":
        return [head(UNFRAMED), *parts]
    return [head(LENGTH.format(sum(map(len, parts)))), *parts]


def second_answers(head):
    """Return what an upstream may send beside its answers, by name.

    Parameters
    ==========
    head : callable
        ``head(lines, request_id)`` returns the bytes of a head; no id omits it, and
        None stands for the id of the first request.
    """
    ids = {"same id": None, "another id": "another", "no id": ""}
    found = {
        f"{framing}, {name}": b"".join(
            framed(lambda lines, text=text: head(lines, text), framing, [PLAIN])
        )
        for framing in FRAMINGS
        for name, text in ids.items()
    }
    return {
        **found,
        "events": b"".join(framed(lambda lines: head(lines, None), "chunked", EVENTS)),
        "no body": head(LENGTH.format(0), None),
        "no body, no id": head(LENGTH.format(0), ""),
        "plain bytes": PLAIN,
        "long plain bytes": PLAIN * 20,
        "line end": b"\r\n",
        "last chunk": LAST_CHUNK,
    }


NAMES = tuple(second_answers(lambda lines, request_id: b""))


class SecondAnswerReplica(RawReplica):
    """A replica that answers the first request of a connection once more later.

    Attributes
    ==========
    name : str
        Of ``second_answers``; empty for none.
    moment : str
        One of ``MOMENTS``, or "first answer at once" for the framing of that one.
    framing : str
        Of the answer to a connection's second request.
    """

    def __init__(self, replica_id):
        super().__init__(replica_id, self._answer_twice)
        self.keep_alive = KeepAlive(5)
        self.name = self.moment = ""
        self.framing = "length"
        self._first_received = {}

    async def _answer_twice(self, received, writer):
        first = self._first_received.setdefault(writer, received)
        is_next = first is not received
        at_once = self.moment == "first answer at once"
        framing = self.framing if is_next or at_once else "length"
        parts = [OWN[:40], OWN[40:]]
        if received.target.startswith("/chat/"):
            start = int(received.headers.get("last-event-id", 0))
            parts = EVENTS[start:]
            framing = framing if is_next or at_once else "chunked"
        answer = framed(
            lambda lines: self.head(received, "200 OK", lines), framing, parts
        )
        if not is_next:
            writer.write(b"".join(answer))
            if at_once or self.moment == "at once":
                writer.write(self._second(first))
            elif self.moment == "idle":
                asyncio.get_running_loop().call_later(
                    PAUSE_S, writer.write, self._second(first)
                )
            return
        await self._send_with_second(answer, self._second(first), writer)
        if framing == "unframed":
            await writer.drain()
            writer.close()

    async def _send_with_second(self, answer, second, writer):
        head, begin, *rest = answer
        rest = b"".join(rest)
        steps = {
            "with the next answer": [second + head + begin + rest],
            "before the next answer": [second, head + begin + rest],
            "behind the next head": [head + second + begin + rest],
            "in the next body": [head + begin, second + rest],
            "right behind the next answer": [head + begin + rest + second],
            "after the next answer": [head + begin + rest, second],
        }
        for data in steps.get(self.moment, [head + begin + rest]):
            writer.write(data)
            await asyncio.sleep(PAUSE_S)

    def _second(self, first):
        def head(lines, request_id):
            data = self.head(first, "200 OK", lines)
            own = f"Attempt-Id: {first.headers['attempt-id']}\r\n".encode()
            assert own in data
            if request_id is None:
                return data
            line = f"Attempt-Id: {request_id}\r\n".encode() if request_id else b""
            return data.replace(own, line)

        return second_answers(head)[self.name] if self.name else b""


def body_of(answer):
    """Return the body of an answer without the framing of chunks."""
    if answer.header("Transfer-Encoding") is None:
        return answer.body
    data, found = answer.body, b""
    while data and not data.startswith(LAST_CHUNK):
        size, _, data = data.partition(b"\r\n")
        found += data[: int(size, 16)]
        data = data[int(size, 16) + 2 :]
    return found


class SecondAnswerTestCase(PausedSocketTestCase):
    """A host that keeps connections, and two replicas that answer twice."""

    @contextlib.asynccontextmanager
    async def site(self, framing="length", moment="", name=""):
        """Run a site; its replicas are ``self.replicas``."""
        self.replicas = [SecondAnswerReplica("s1"), SecondAnswerReplica("s2")]
        for replica in self.replicas:
            replica.framing, replica.moment, replica.name = framing, moment, name
        site = Site(
            {"reservas": self.replicas},
            ROUTES,
            settings={"kept_connections": 10, "flap_damping_max_ms": 30_000},
        )
        async with site:
            yield site

    def reused(self, site):
        """Return how many requests were sent over connections that were kept."""
        totals = site.hosts[0].context.metrics.totals
        return totals["connections.reused.reservas"]

    async def check(self, path, framing, moments=MOMENTS, names=NAMES):
        """Check that callers get their own answers whole, whatever comes beside."""
        whole = b"".join(EVENTS) if path == "/chat/1" else OWN
        for moment, name in itertools.product(moments, names):
            with self.subTest(moment=moment, name=name):
                async with self.site(framing, moment, name) as site:
                    await self.check_answers(site, path, whole)
                    if moment not in ("at once", "idle"):
                        self.assertGreater(self.reused(site), 0)

    async def check_answers(self, site, path, whole, count=3):
        """Check that requests that follow one another get their own answers."""
        for number in range(count):
            request_id = f"a{number}"
            answer = await call_raw(site, path, Attempt_Id=request_id)
            self.assertEqual(body_of(answer), whole)
            self.assertEqual(answer.status, 200)
            self.assertEqual(answer.header("Attempt-Id"), request_id)
            self.assertFalse(answer.is_reset)
            await asyncio.sleep(2 * PAUSE_S)


class FramedAnswerTests(SecondAnswerTestCase):
    """Guards against a second answer that the next request of its connection gets."""

    async def test_next_answer_with_a_length(self):
        await self.check("/read/1", "length")

    async def test_next_answer_in_chunks(self):
        await self.check("/read/1", "chunked")

    async def test_next_answer_is_a_stream_in_chunks(self):
        await self.check("/chat/1", "chunked")


class UnframedAnswerTests(SecondAnswerTestCase):
    """Guards against a second answer within a body whose end is not stated."""

    async def test_next_answer_without_framing(self):
        await self.check("/read/1", "unframed")

    async def test_next_answer_is_a_stream_without_framing(self):
        await self.check("/chat/1", "unframed")


class FollowedAnswerTests(SecondAnswerTestCase):
    """Guards against a whole answer that is lost, or mixed, as bytes follow it at once."""

    async def check_followed(self, path, method, framing, whole):
        for name in NAMES:
            with self.subTest(path=path, framing=framing, name=name):
                async with self.site(framing, "first answer at once", name) as site:
                    answer = await call_raw(site, path, method=method)
                    self.assertEqual((answer.status, body_of(answer)), (200, whole))
                    self.assertFalse(answer.is_reset)
                    ran = [len(replica.ran) for replica in self.replicas]
                    self.assertEqual(sum(ran), 1)
                    paths = site.hosts[0].context.upstreams
                    self.assertEqual(paths.connected("reservas"), ())

    async def test_plain_answers(self):
        for framing in ("length", "chunked"):
            await self.check_followed("/read/1", "GET", framing, OWN)

    async def test_request_that_may_not_be_repeated(self):
        for framing in ("length", "chunked"):
            await self.check_followed("/book/1", "POST", framing, OWN)

    async def test_stream(self):
        await self.check_followed("/chat/1", "GET", "chunked", b"".join(EVENTS))


class RepeatedRequestTests(SecondAnswerTestCase):
    """Guards against a second answer that is taken for that of the same id again."""

    async def check_repeated(self, path, name, whole, **fields):
        async with self.site("length", "with the next answer", name) as site:
            first = await call_raw(site, path, Attempt_Id="a1")
            self.assertEqual(first.status, 200)
            for request_id in ("a1", "a2", "a1"):
                answer = await call_raw(site, path, Attempt_Id=request_id, **fields)
                self.assertEqual((answer.status, body_of(answer)), (200, whole))

    async def test_plain_request_with_the_id_of_an_earlier_one(self):
        await self.check_repeated("/read/1", "length, same id", OWN)

    async def test_continuation_with_the_id_of_its_stream(self):
        whole = b"".join(EVENTS[3:])
        for name in ("events", "length, same id"):
            with self.subTest(name=name):
                await self.check_repeated("/chat/1", name, whole, Last_Event_ID="3")


class CostTests(SecondAnswerTestCase):
    """Guards against requests that run twice as their answers can't be told apart."""

    async def count_runs(self, framing, moment="", name=""):
        """Return how often 30 requests ran."""
        async with self.site(framing, moment, name) as site:
            await self.check_answers(site, "/read/1", OWN, count=30)
            return sum(len(replica.ran) for replica in self.replicas)

    async def test_upstreams_without_framing_cost_one_run_each(self):
        self.assertLessEqual(await self.count_runs("unframed"), 32)

    async def test_upstreams_with_late_answers_cost_one_run_each(self):
        for name in ("length, same id", "length, no id"):
            found = await self.count_runs("length", "with the next answer", name)
            self.assertLessEqual(found, 32)

    async def test_upstreams_that_mix_answers_cost_one_run_each(self):
        found = await self.count_runs("length", "in the next body", "plain bytes")
        self.assertLessEqual(found, 32)
