import unittest

from hemlockhoist.base import DispatchError, ResultCode
from hemlockhoist.host.sinks import CollectSink
from hemlockhoist.upstreams import EventSplitter


class CollectSinkTests(unittest.IsolatedAsyncioTestCase):
    async def test_event_of_another_shape_is_the_engines_failure(self):
        """Guards against an internal error of the host for an engine's answer."""
        for data in (b'{"id": null}', b'{"choices": null}', b'{"choices": "x"}', b"[]"):
            sink = CollectSink()
            await sink.write(EventSplitter().feed(b"id: 0\ndata: %s\n\n" % data))
            with self.subTest(data=data):
                with self.assertRaises(DispatchError) as caught:
                    sink.completion()
                self.assertEqual(caught.exception.code, ResultCode.UPSTREAM_FAILED)
