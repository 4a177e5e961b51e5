"""Tests of engines that send a second answer within an answer that a host collects."""

from hemlockhoist.standins.tests.test_own_second_streams import SecondAnswerCase


class CollectedAnswerTests(SecondAnswerCase):
    async def test_second_answer_is_no_part_of_a_collected_answer(self):
        """Guards against text that the engine did not make for this request."""
        await self.check_cases(is_stream=False)
