"""The executions of requests by the replicas of a soak run."""


class Execution:
    """One execution of a request by a replica.

    Parameters
    ==========
    replica : Replica
    received : ReceivedRequest
    """

    __slots__ = ("received", "replica")

    def __init__(self, replica, received):
        self.replica = replica
        self.received = received

    @property
    def attempt_id(self):
        """The attempt id that the caller gave the request."""
        return self.received.headers.get("attempt-id", "")
