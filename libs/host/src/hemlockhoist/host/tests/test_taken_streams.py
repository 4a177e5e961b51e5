import unittest

from hemlockhoist.host.taken_streams import MAX_STREAMS, TakenStreams


class TakenStreamsTests(unittest.TestCase):
    def test_stream_is_taken_once(self):
        streams = TakenStreams()
        streams.add("a1")
        self.assertTrue(streams.take("a1"))
        self.assertFalse(streams.take("a1"))

    def test_streams_that_nobody_asks_for_use_bounded_memory(self):
        """Guards against a host that keeps each stream that it ever handed over."""
        streams = TakenStreams()
        for number in range(2 * MAX_STREAMS):
            streams.add(f"a{number}")
        self.assertEqual(len(streams), MAX_STREAMS)
        self.assertTrue(streams.take(f"a{2 * MAX_STREAMS - 1}"))
