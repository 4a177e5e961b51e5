"""The member table and the rules for merging updates of a member."""

from hemlockhoist.decisions.membership.records import (
    MemberGone,
    MemberJoined,
    MemberLeaving,
    SuccessorNamed,
)
from hemlockhoist.messages.membership import Health, MemberUpdate


class MemberEntry:
    """The newest known incarnation at an address.

    Parameters
    ==========
    update : MemberUpdate
    changed_ms : int
        When the health last changed.
    """

    __slots__ = ("changed_ms", "listed_leaving", "update")

    def __init__(self, update, changed_ms):
        self.update = update
        self.changed_ms = changed_ms
        self.listed_leaving = ""

    @property
    def member(self):
        """The member that the update describes."""
        return self.update.member

    @property
    def is_leaving(self):
        """Whether the host, or the list for this incarnation, reports it as leaving."""
        listed = self.listed_leaving
        return self.update.leaving or (listed and listed == self.member.incarnation)

    @property
    def is_live(self):
        """Whether the host is not known to be gone; a suspect host is still live."""
        return self.update.health is not Health.GONE


class MemberTable:
    """Holds all members by address, including this host.

    Parameters
    ==========
    own : MemberUpdate
    """

    __slots__ = ("_entries", "_unhealthy", "events", "own", "version")

    def __init__(self, own):
        self.own = own
        self.version = 0
        self.events = []
        self._unhealthy = set()
        self._entries = {own.member.address: MemberEntry(own, 0)}

    def __len__(self):
        return len(self._entries)

    def __iter__(self):
        return iter(tuple(self._entries.values()))

    def get(self, address):
        """Return the entry of an address, or None."""
        return self._entries.get(address)

    @property
    def has_suspect(self):
        """Whether any host is suspect."""
        return any(
            self._entries[address].update.health is Health.SUSPECT
            for address in self._unhealthy
        )

    def unhealthy(self):
        """Return the entries of hosts that are suspect or gone.

        They are few, so that the cost of a tick does not depend on the fleet's size.
        """
        return [self._entries[address] for address in sorted(self._unhealthy)]

    def set_own(self, **fields):
        """Change this host's own update under a higher revision, and return it."""
        update = self.own
        names = ("member", "leaving", "successor", "full")
        values = {name: fields.get(name, getattr(update, name)) for name in names}
        revision = max(update.revision, fields.get("revision", 0)) + 1
        self.own = MemberUpdate(revision=revision, **values)
        self._entries[self.own.member.address].update = self.own
        self.version += 1
        return self.own

    def add_listed(self, member, now_ms):
        """Add a host known only from the list, assumed to be alive until probed."""
        self._entries[member.address] = MemberEntry(MemberUpdate(member=member), now_ms)
        self.version += 1

    def mark_listed_leaving(self, entry, leaving):
        """Set whether the list reports the current incarnation as leaving."""
        before = entry.is_leaving
        if leaving and not entry.listed_leaving:
            entry.listed_leaving = entry.member.incarnation
        elif not leaving:
            entry.listed_leaving = ""
        if entry.is_leaving and not before:
            self.events.append(MemberLeaving(entry.member))
        if bool(entry.is_leaving) != bool(before):
            self.version += 1

    def merge(self, update, now_ms):
        """Merge a peer's update of a member; return whether it changed the entry.

        Parameters
        ==========
        update : MemberUpdate
            An update of another host.
        now_ms : int
        """
        is_new = self._merge(update, now_ms)
        if is_new:
            self._update_unhealthy(update.member.address)
        return is_new

    def _merge(self, update, now_ms):
        entry = self._entries.get(update.member.address)
        if entry is None:
            self._entries[update.member.address] = MemberEntry(update, now_ms)
            self._record_new_incarnation(update)
            return True
        known = entry.update
        if _incarnation_order(update.member) < _incarnation_order(known.member):
            return False
        if _incarnation_order(update.member) > _incarnation_order(known.member):
            if known.member.incarnation and entry.is_live:
                self.events.append(MemberGone(known.member))
            entry.update = update
            entry.changed_ms = now_ms
            self._record_new_incarnation(update)
            return True
        merged = _merge_same_incarnation(known, update)
        if merged == known:
            return False
        self._record_change(entry, merged)
        if merged.health is not known.health or merged.revision != known.revision:
            entry.changed_ms = now_ms
        entry.update = merged
        self.version += 1
        return True

    def remove(self, address):
        """Remove a member that has been gone for a long time."""
        del self._entries[address]
        self._unhealthy.discard(address)
        self.version += 1

    def _update_unhealthy(self, address):
        if self._entries[address].update.health is Health.ALIVE:
            self._unhealthy.discard(address)
        else:
            self._unhealthy.add(address)

    def _record_new_incarnation(self, update):
        self.version += 1
        if update.health is not Health.GONE:
            self.events.append(MemberJoined(update.member))
        if update.leaving:
            self.events.append(MemberLeaving(update.member))
        self._record_successor(update)

    def _record_change(self, entry, merged):
        known = entry.update
        if merged.leaving and not entry.is_leaving:
            self.events.append(MemberLeaving(merged.member))
        if merged.successor != known.successor:
            self._record_successor(merged)
        gone = merged.health is Health.GONE
        if gone and known.health is not Health.GONE:
            self.events.append(MemberGone(merged.member))
        elif not gone and known.health is Health.GONE:
            self.events.append(MemberJoined(merged.member))

    def _record_successor(self, update):
        if update.successor:
            event = SuccessorNamed(update.member.incarnation, update.successor)
            self.events.append(event)


def _incarnation_order(member):
    return (member.started_unix_ms, member.incarnation)


def _merge_same_incarnation(known, update):
    newest = max(known, update, key=lambda item: (item.revision, item.health))
    return MemberUpdate(
        member=newest.member,
        health=newest.health,
        revision=newest.revision,
        leaving=known.leaving or update.leaving,
        successor=known.successor or update.successor,
        full=newest.full,
    )
