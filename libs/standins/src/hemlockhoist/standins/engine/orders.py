"""Orders to an engine, with or without a check of the fencing token."""

import msgspec


class OrderRefused(Exception):
    """Raised when an order has a lower fencing token than one accepted before.

    Parameters
    ==========
    highest_fencing : int
    """

    def __init__(self, highest_fencing):
        super().__init__(f"fencing token is below {highest_fencing}")
        self.highest_fencing = highest_fencing


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """Order in the body of ``POST /orders``.

    Parameters
    ==========
    fencing : int
    order : str
        ``load_version``, ``load_adapter`` or ``change_role``.
    version, adapter, role : str
        Subject of the order; the two others stay empty.
    """

    fencing: int
    order: str
    version: str = ""
    adapter: str = ""
    role: str = ""


_SUBJECTS = {
    "load_version": "version",
    "load_adapter": "adapter",
    "change_role": "role",
}


class OrderHandler:
    """Accepts orders and keeps the configuration that the engine runs.

    Parameters
    ==========
    version, role : str
    checks_fencing : bool
    load_ms : int
        Time from accepting an order until it takes effect.
    """

    __slots__ = (
        "_checks_fencing",
        "_load_ms",
        "_loading",
        "accepted",
        "adapter",
        "highest_fencing",
        "role",
        "version",
    )

    def __init__(self, version, role, checks_fencing, load_ms):
        self.version = version
        self.role = role
        self.adapter = ""
        self.highest_fencing = 0
        self.accepted = []
        self._checks_fencing = checks_fencing
        self._load_ms = load_ms
        self._loading = {}

    def accept(self, order, now_ms):
        """Accept an order; repeating one has no effect.

        Raises
        ======
        OrderRefused
            When the fencing token is outdated and this engine checks it.
        ValueError
            When the order is unknown or its subject is empty.
        """
        subject = _SUBJECTS.get(order.order)
        if subject is None or not getattr(order, subject):
            raise ValueError(f"order {order.order!r} is unknown or has no subject")
        if self._checks_fencing and order.fencing < self.highest_fencing:
            raise OrderRefused(self.highest_fencing)
        self.highest_fencing = max(self.highest_fencing, order.fencing)
        self.accepted.append(order)
        wanted = getattr(order, subject)
        if wanted != self._target(subject):
            self._loading[subject] = (now_ms + self._load_ms, wanted)

    def apply_due(self, now_ms):
        """Apply the orders whose loading time has passed."""
        for subject, (ready_ms, wanted) in list(self._loading.items()):
            if ready_ms <= now_ms:
                setattr(self, subject, wanted)
                del self._loading[subject]

    def as_json(self):
        """Return the current and loading configuration and the accepted orders."""
        loading = {subject: wanted for subject, (_, wanted) in self._loading.items()}
        return {
            "fencing": self.highest_fencing,
            "version": self.version,
            "adapter": self.adapter,
            "role": self.role,
            "loading": loading,
            "taken": [msgspec.to_builtins(order) for order in self.accepted],
        }

    def _target(self, subject):
        if subject in self._loading:
            return self._loading[subject][1]
        return getattr(self, subject)
