import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from hemlockhoist.base import PeerError
from hemlockhoist.messages import (
    CandidateReport,
    Codec,
    Envelope,
    PlacementQuery,
    PlacementReply,
    PlacementReport,
    RequestBrief,
)

texts = st.text(max_size=12)
times = st.integers(-(2**40), 2**40)
counts = st.integers(0, 2**40)
briefs = st.builds(
    RequestBrief,
    request_id=texts,
    route=texts,
    customer=texts,
    tier_rank=counts,
    prompt_tokens=counts,
    prefix_hashes=st.lists(st.integers(0, 2**64 - 1), max_size=3).map(tuple),
    deadline_in_ms=times,
    first_token_in_ms=times,
    parts=st.lists(st.integers(0, 2**64 - 1), max_size=3).map(tuple),
)
candidates = st.builds(
    CandidateReport,
    upstream_id=texts,
    version=texts,
    region=texts,
    first_token_ms=st.none() | times,
    cost_ms=st.none() | times,
    exclusion=texts,
)
reports = st.builds(
    PlacementReport,
    outcome=texts,
    upstream_id=texts,
    code=st.integers(0, 999),
    reason=texts,
    retry_after_ms=counts,
    ahead_count=counts,
    wait_ms=times,
    candidates=st.lists(candidates, max_size=3).map(tuple),
)
queries = st.builds(PlacementQuery, pool=texts, query_id=texts, brief=briefs)
replies = st.builds(
    PlacementReply,
    query_id=texts,
    code=st.integers(0, 999),
    retry_after_ms=counts,
    report=st.none() | reports,
)


def envelope(*messages):
    return Envelope(
        sender="a",
        incarnation="1",
        receiver="b",
        sequence=1,
        sent_ms=5,
        messages=list(messages),
    )


class PlacementMessageTests(unittest.TestCase):
    @given(queries, replies)
    def test_messages_round_trip_unchanged(self, query, reply):
        """Guards against a field that is lost, or decoded as another one."""
        codec = Codec(b"k")
        sent = envelope(query, reply)
        self.assertEqual(codec.decode(codec.encode(sent), "b"), sent)

    @given(st.one_of(queries, replies), st.data())
    def test_changed_fields_are_rejected_with_a_code(self, message, data):
        """Guards against another kind of error that ends the task of a connection.

        The peer has the key, as a faulty host of the fleet does.
        """
        codec = Codec(b"k")
        wire = msgspec.msgpack.decode(codec.encode(envelope(message))[17:])
        fields = wire[4][0]
        place = data.draw(st.integers(0, len(fields) - 1))
        junk = st.one_of(st.none(), texts, times, st.floats(), st.lists(texts))
        fields[place] = data.draw(junk)
        body = msgspec.msgpack.encode(wire)
        version = codec.encode(envelope())[:1]
        try:
            codec.decode(version + codec._digest("b", body) + body, "b")
        except PeerError:
            pass
