"""Simulated hosts that exchange declarations, and a store with outages."""

from hemlockhoist.base import InvariantLog
from hemlockhoist.decisions.configuration import ConfigurationState
from hemlockhoist.declarations import Customer, Declarations
from hemlockhoist.messages.membership import Member

STEP_MS = 250


def make_declarations(version, name="faculty"):
    customer = Customer(name=name, highest_tier="gold", max_in_flight=version)
    return Declarations(version=version, customers=(customer,))


class ConfigurationFleet:
    """Ticks the hosts, answers their reads of the store and delivers messages."""

    def __init__(self, count):
        self.now_ms = 0
        self.row = make_declarations(1)
        self.store_up = True
        self.store_reads = 0
        self.frozen = set()
        self.delayed = None
        self.members = []
        self.states = {}
        for number in range(count):
            self.add(number)

    def add(self, number, incarnation_number=1):
        name = f"h{number}"
        self.members = [item for item in self.members if item.address != name]
        self.members.append(
            Member(address=name, incarnation=f"{name}-{incarnation_number}")
        )
        log = InvariantLog(True)
        state = ConfigurationState.from_config(
            name, f"{name}-{incarnation_number}", log, number
        )
        self.states[name] = state
        return state

    def stop(self, name):
        del self.states[name]
        self.members = [item for item in self.members if item.address != name]

    def run(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            for name, state in list(self.states.items()):
                if name not in self.frozen:
                    self._step(name, state)

    def _step(self, name, state):
        collectors = sorted(item.address for item in self.members)
        state.set_view(self.members, collectors, self.now_ms)
        self.deliver(state.tick(self.now_ms))
        if state.store_read_due(self.now_ms):
            self.store_reads += 1
            if self.store_up:
                self.deliver(state.on_store_answer(self.row, self.now_ms))
            else:
                state.on_store_failure(self.now_ms)
        if state.version > state.acknowledged_version:
            self.deliver(state.mark_in_force(state.version, self.now_ms))

    def deliver(self, outgoing):
        queue = list(outgoing)
        while queue:
            item = queue.pop(0)
            state = self.states.get(item.address)
            if state is None:
                continue
            if item.address in self.frozen:
                if self.delayed is not None:
                    self.delayed.append(item)
                continue
            queue += state.on_message(item.message, self.now_ms)

    def versions(self):
        return {state.version for state in self.states.values()}
