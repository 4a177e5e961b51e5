import unittest

from hemlockhoist.decisions.scheduling.pace import EnginePace, PoolPace


class EnginePaceTests(unittest.TestCase):
    def test_answers_within_a_millisecond_leave_first_tokens_readable(self):
        """Guards against a home that drops the first tokens of upstreams this fast."""
        for observe in ("observe_token", "observe_service_call"):
            with self.subTest(observe=observe):
                pace = EnginePace(PoolPace())
                for _ in range(50):
                    getattr(pace, observe)(0)
                pace.observe_first_token(prompt_tokens=10, first_ms=0.0)
                self.assertGreater(pace.base_ms(), 0.0)
