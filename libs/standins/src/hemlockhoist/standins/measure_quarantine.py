"""Compares ways to find a part of prompts that crashes upstreams, on the same seeds.

Requests arrive at a pool whose upstreams crash as they begin to answer a prompt with one
part, and now and then for no reason. Each way sees the same reports that a home gets.
"""

import collections
import heapq
import itertools
import math
import random

import click
import msgspec

from hemlockhoist.decisions.quarantine import Quarantine
from hemlockhoist.messages import PartState

GUILTY = 1_000_000
FIRST_EVENT_MS = 100
ANSWER_MS = 600
DOWN_MS = 3_000
GUILTY_FROM_MS = 4_000
SECONDS = 30
RETRY_DELAY_MS = 20
SUBJECTS = 60
CUSTOMERS = 5
# Requests that an upstream runs at once; the rest finds no place.
SLOTS = 4


class Load(msgspec.Struct, frozen=True):
    """What a run plays.

    Parameters
    ==========
    upstreams : int
    sound_per_s, guilty_per_s : float
        Requests a second.
    crashes_per_s : float
        Crashes a second for no reason, over all upstreams.
    """

    upstreams: int
    sound_per_s: float
    guilty_per_s: float = 3.3
    crashes_per_s: float = 0.0


class Result(msgspec.Struct):
    """Counts of one run."""

    guilty_crashes: int = 0
    late_guilty: int = 0
    sound: int = 0
    sound_first: int = 0
    sound_kept_back: int = 0
    innocents_blocked: int = 0


class CountWay:
    """Blocks a part with enough crashes and no answer since the first of them."""

    limit = 3

    def __init__(self):
        self._crashes = collections.defaultdict(set)

    def may_send(self, parts, is_retry, is_busy, now_ms):
        """Return whether a request may be sent."""
        return all(len(self._crashes[part]) < self.limit for part in parts)

    def on_sent(self, parts, now_ms):
        """Record that a request is sent."""

    def on_answer(self, parts, now_ms):
        """Record an answer."""
        for part in parts:
            self._crashes.pop(part, None)

    def on_crash(self, upstream_id, parts, now_ms):
        """Record the crash of an upstream."""
        for part in parts:
            self._crashes[part].add(upstream_id)

    def blocked(self):
        """Return the blocked parts."""
        return {k for k, v in self._crashes.items() if len(v) >= self.limit}


class LikelihoodWay(CountWay):
    """Weighs crashes against answers by how probable both are under chance."""

    # Probability that a sound request ends with its upstream, and that a guilty one is
    # answered; the weight at which a part is blocked.
    by_chance = 0.05
    answered = 0.001
    limit = 9.0

    def __init__(self):
        self._weights = collections.Counter()

    def may_send(self, parts, is_retry, is_busy, now_ms):
        """Return whether a request may be sent."""
        return all(self._weights[part] < self.limit for part in parts)

    def on_answer(self, parts, now_ms):
        """Record an answer."""
        for part in parts:
            weight = self._weights[part] + math.log(
                self.answered / (1 - self.by_chance)
            )
            self._weights[part] = max(weight, -3 * self.limit)

    def on_crash(self, upstream_id, parts, now_ms):
        """Record the crash of an upstream under one request."""
        for part in parts:
            self._weights[part] += math.log(1 / self.by_chance)

    def blocked(self):
        """Return the blocked parts."""
        return {k for k, v in self._weights.items() if v >= self.limit}


class ChargedWay:
    """The decision of the product."""

    keeps_suspects = True

    def __init__(self):
        self._quarantine = Quarantine()

    def may_send(self, parts, is_retry, is_busy, now_ms):
        """Return whether a request may be sent."""
        if not is_retry:
            self._quarantine.on_request(parts)
        kept_back = self._quarantine.kept_back(parts, is_retry, is_busy, now_ms)
        if kept_back is None:
            return True
        is_blocked = self._quarantine.state(kept_back.part) is PartState.BLOCKED
        return not is_blocked and not self.keeps_suspects

    def on_sent(self, parts, now_ms):
        """Record that a request is sent."""
        self._quarantine.on_sent(parts, now_ms)

    def on_answer(self, parts, now_ms):
        """Record an answer."""
        self._quarantine.on_answer(parts, now_ms)

    def on_crash(self, upstream_id, parts, now_ms):
        """Record the crash of an upstream under one request."""
        self._quarantine.on_crash(upstream_id, parts, now_ms)

    def blocked(self):
        """Return the blocked parts."""
        records = self._quarantine.records()
        return {item.part for item in records if item.state == PartState.BLOCKED}


class ChargedAtOnceWay(ChargedWay):
    """The same, with suspected parts sent as usual until they are blocked."""

    keeps_suspects = False


class NothingWay(CountWay):
    """Keeps nothing back."""

    limit = math.inf


WAYS = {
    "nothing": NothingWay,
    "count without an answer": CountWay,
    "likelihood": LikelihoodWay,
    "charged, suspects as usual": ChargedAtOnceWay,
    "charged, suspects one at a time": ChargedWay,
}


class _Request:
    __slots__ = ("attempts", "begun", "is_guilty", "parts", "upstream")

    def __init__(self, parts):
        self.parts = parts
        self.is_guilty = GUILTY in parts
        self.attempts = 0
        self.begun = False
        self.upstream = None


class _Run:
    """One run: an event queue over a pool of upstreams."""

    def __init__(self, load, way, seed):
        self.load, self.way = load, way
        self.rng = random.Random(seed)
        self.result = Result()
        self.events = []
        self.numbers = itertools.count()
        self.running = {number: set() for number in range(load.upstreams)}
        self.starts = [0] * load.upstreams
        self.crash_ms = []
        self.in_flight = collections.Counter()

    def at(self, at_ms, action, *arguments):
        heapq.heappush(self.events, (at_ms, next(self.numbers), action, arguments))

    def play(self):
        rng, load = self.rng, self.load
        for kind, rate, from_ms in (
            (self.new_sound, load.sound_per_s, 0),
            (self.new_guilty, load.guilty_per_s, GUILTY_FROM_MS),
            (self.crash_by_chance, load.crashes_per_s, 0),
        ):
            now_ms = from_ms
            while rate and (now_ms := now_ms + rng.expovariate(rate) * 1_000) < (
                SECONDS * 1_000
            ):
                self.at(now_ms, kind)
        while self.events:
            now_ms, _, action, arguments = heapq.heappop(self.events)
            action(now_ms, *arguments)
        self.result.innocents_blocked = len(self.way.blocked() - {GUILTY})
        return self.result

    def new_sound(self, now_ms):
        rng = self.rng
        customer = rng.randrange(CUSTOMERS)
        subject = 100 + int(SUBJECTS * rng.random() ** 2)
        self.result.sound += 1
        self.send(now_ms, _Request((customer, subject)))

    def new_guilty(self, now_ms):
        self.send(now_ms, _Request((0, GUILTY)))

    def is_busy(self, part):
        return self.in_flight[part] > 0

    def send(self, now_ms, request):
        is_retry = request.attempts > 0
        if not self.way.may_send(request.parts, is_retry, self.is_busy, now_ms):
            self.result.sound_kept_back += not request.is_guilty
            return
        free = [n for n, item in self.running.items() if len(item) < SLOTS]
        free = [n for n in free if self.starts[n] <= now_ms]
        if not free:
            return
        request.attempts += 1
        request.begun = False
        request.upstream = number = self.rng.choice(free)
        self.running[number].add(request)
        self.in_flight.update(request.parts)
        self.way.on_sent(request.parts, now_ms)
        if request.is_guilty and self.is_late(now_ms):
            self.result.late_guilty += 1
        self.at(now_ms + FIRST_EVENT_MS, self.begin, request, number)

    def is_late(self, now_ms):
        return len(self.crash_ms) >= 5 and now_ms > self.crash_ms[4] + DOWN_MS

    def begin(self, now_ms, request, number):
        if request not in self.running[number] or request.begun:
            return
        if request.is_guilty:
            self.result.guilty_crashes += 1
            self.crash_ms.append(now_ms)
            self.crash(now_ms, number)
            return
        request.begun = True
        self.result.sound_first += request.attempts == 1
        self.at(now_ms + ANSWER_MS - FIRST_EVENT_MS, self.end, request, number)

    def end(self, now_ms, request, number):
        if request in self.running[number]:
            self.remove(request, number)
            self.way.on_answer(request.parts, now_ms)

    def remove(self, request, number):
        self.running[number].discard(request)
        self.in_flight.subtract(request.parts)

    def crash_by_chance(self, now_ms):
        number = self.rng.randrange(self.load.upstreams)
        if self.starts[number] <= now_ms:
            self.crash(now_ms, number)

    def crash(self, now_ms, number):
        self.starts[number] = now_ms + DOWN_MS
        upstream_id = f"u{number}-{now_ms:.0f}"
        for request in sorted(self.running[number], key=lambda item: item.parts):
            self.remove(request, number)
            if request.begun:
                continue
            self.way.on_crash(upstream_id, request.parts, now_ms)
            if request.attempts < 2:
                self.at(now_ms + RETRY_DELAY_MS, self.send, request)


LOADS = {
    "6 upstreams, 20/s": Load(6, 20.0),
    "6 upstreams, 20/s, 0.8 crashes/s": Load(6, 20.0, crashes_per_s=0.8),
    "6 upstreams, 3/s": Load(6, 3.0),
    "300 upstreams, 900/s": Load(300, 900.0),
    "300 upstreams, 900/s, 5 crashes/s": Load(300, 900.0, crashes_per_s=5.0),
    "no guilty part, 0.8 crashes/s": Load(6, 20.0, 0.0, 0.8),
}


def compare(load, seeds):
    """Return the mean ``Result`` of each way under a load, by the way's name.

    Parameters
    ==========
    load : Load
    seeds : iterable of int
    """
    seeds = list(seeds)
    means = {}
    for name, way in WAYS.items():
        results = [_Run(load, way(), seed).play() for seed in seeds]
        fields = {
            field: sum(getattr(item, field) for item in results) / len(seeds)
            for field in Result.__struct_fields__
        }
        fields["most_late"] = max(item.late_guilty for item in results)
        means[name] = fields
    return means


@click.command()
@click.option("--seeds", default=20, help="Number of seeds of each load.")
def main(seeds):
    """Print how each way does under each load."""
    for load_name, load in LOADS.items():
        click.echo(load_name)
        for name, mean in compare(load, range(1, seeds + 1)).items():
            share = mean["sound_first"] / mean["sound"]
            click.echo(
                f"  {name:32} crashes {mean['guilty_crashes']:5.1f} late "
                f"{mean['late_guilty']:5.1f} (most {mean['most_late']}) first attempt "
                f"{share:.3f} kept back {mean['sound_kept_back']:6.1f} innocents "
                f"blocked {mean['innocents_blocked']:.2f}"
            )


if __name__ == "__main__":
    main()
