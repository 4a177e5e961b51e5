import unittest

from hemlockhoist.base import DispatchError
from hemlockhoist.entry.stream_end import StreamEnd
from hemlockhoist.upstreams import BodyEnd


class StreamEndTests(unittest.TestCase):
    def test_an_end_is_certain_only_if_the_answer_states_it(self):
        """Guards against a closed connection that is taken for a stream's end."""
        for body_end in (BodyEnd.LENGTH, BodyEnd.LAST_CHUNK, BodyEnd.CONNECTION):
            end = StreamEnd()
            end.on_events()
            end.on_end(False, body_end)
            self.assertEqual(end.is_uncertain, body_end is BodyEnd.CONNECTION)

    def test_further_events_refute_an_uncertain_end(self):
        end = StreamEnd()
        end.on_end(False, BodyEnd.CONNECTION)
        end.on_events()
        self.assertFalse(end.is_uncertain)

    def test_no_end_before_what_had_begun(self):
        """Guards against a continuation that ends before the event that was begun."""
        for is_in_event, body_end in (
            (True, BodyEnd.LAST_CHUNK),
            (True, BodyEnd.CONNECTION),
            (False, BodyEnd.LENGTH),
        ):
            for next_end in BodyEnd:
                with self.subTest(body_end=body_end, next_end=next_end):
                    end = StreamEnd()
                    end.on_break(is_in_event, body_end)
                    with self.assertRaises(DispatchError):
                        end.on_end(False, next_end)
                    end.on_events()
                    end.on_end(False, next_end)

    def test_end_before_the_events_so_far_shows_nothing(self):
        """Guards against an upstream that ends a stream before its own part of it."""
        for body_end in BodyEnd:
            for is_uncertain in (False, True):
                with self.subTest(body_end=body_end, is_uncertain=is_uncertain):
                    end = StreamEnd()
                    if is_uncertain:
                        end.on_end(False, BodyEnd.CONNECTION)
                    with self.assertRaises(DispatchError):
                        end.on_end(False, body_end, is_behind=True)
                    self.assertEqual(end.is_uncertain, is_uncertain)
                    end.on_end(False, BodyEnd.LAST_CHUNK)

    def test_break_after_the_last_chunk_but_one_shows_nothing_of_a_rest(self):
        """Guards against a whole stream that is lost with its last chunk."""
        end = StreamEnd()
        end.on_break(False, BodyEnd.LAST_CHUNK)
        end.on_end(False, BodyEnd.LAST_CHUNK)
        self.assertFalse(end.is_uncertain)
