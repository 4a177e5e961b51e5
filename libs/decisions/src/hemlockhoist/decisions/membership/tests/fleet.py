"""A simulated fleet of hosts that exchange messages in memory."""

from hemlockhoist.decisions.membership import ListedHost, Membership
from hemlockhoist.messages.membership import Member

STEP_MS = 100


def new_member(number, started_unix_ms=1, domains=4):
    return Member(
        address=f"10.0.0.{number}:7000",
        incarnation=f"i{number}-{started_unix_ms}",
        started_unix_ms=started_unix_ms,
        caller_address=f"10.0.0.{number}:8000",
        failure_domain=f"d{number % domains}",
    )


def listed_hosts(members, leaving=()):
    return [
        ListedHost(
            address=item.address,
            caller_address=item.caller_address,
            failure_domain=item.failure_domain,
            leaving=item in leaving,
        )
        for item in members
    ]


class Fleet:
    """Runs the hosts' ticks and delivers their messages, except over cut links."""

    def __init__(self, count):
        self.members = [new_member(n) for n in range(count)]
        self.hosts = {}
        self.frozen = set()
        self.cut = set()
        self.now_ms = 0
        self.sent = 0
        for number, member in enumerate(self.members):
            host = Membership.from_config(member, number)
            host.set_list(listed_hosts(self.members), 0)
            self.hosts[member.address] = host

    def host(self, number):
        return self.hosts[self.members[number].address]

    def stop(self, number):
        del self.hosts[self.members[number].address]

    def run(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            for address, host in list(self.hosts.items()):
                if address not in self.frozen:
                    self.deliver(address, host.tick(self.now_ms))

    def deliver(self, sender, outgoing):
        queue = [(sender, item) for item in outgoing]
        while queue:
            sender, item = queue.pop(0)
            self.sent += 1
            receiver = self.hosts.get(item.address)
            if receiver is None or item.address in self.frozen:
                continue
            if (sender, item.address) in self.cut:
                continue
            answers = receiver.on_message(item.message, self.now_ms)
            queue += [(item.address, answer) for answer in answers]

    def live_at(self, number):
        return [item.address for item in self.host(number).live_hosts()]
