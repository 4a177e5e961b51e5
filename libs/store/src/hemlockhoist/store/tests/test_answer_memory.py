import doctest
import unittest

import aiohttp

from hemlockhoist.store import AnswerMemory, answer_memory


class AnswerMemoryTests(unittest.TestCase):
    def test_what_was_held_is_released_after_an_error(self):
        """Guards against a store that is never read again after one long answer."""
        memory = AnswerMemory(1_000)
        with self.assertRaises(aiohttp.ClientPayloadError), memory.holding() as held:
            held.add(1_000)
            held.add(1)
        self.assertEqual(memory.held_bytes, 0)

    def test_examples_run(self):
        self.assertEqual(doctest.testmod(answer_memory).failed, 0)
