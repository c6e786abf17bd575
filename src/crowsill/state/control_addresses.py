"""Replicated addresses of control processes that were members or asked to join the group.

A control process without its disk knows nothing after a restart, but may be the only address of the
group that other processes know. So the leader must be able to reach it after any data loss.
"""

# Beyond this number the oldest address is dropped. A deployment has few control processes, and
# each one that is permanently gone costs the leader one packet every two seconds.
MAX_CONTROL_ADDRESSES = 64


class ControlAddresses:
    """Addresses of control processes, `IP:port`, in the order of their recording.

    >>> known = ControlAddresses()
    >>> known.record("127.0.0.1:1"), known.record("127.0.0.1:1"), known.addresses
    (True, False, ['127.0.0.1:1'])
    """

    def __init__(self) -> None:
        self.addresses: list[str] = []

    def record(self, address: str) -> bool:
        """Record an address; return whether it is new."""
        if address in self.addresses:
            return False
        self.addresses = [*self.addresses, address][-MAX_CONTROL_ADDRESSES:]
        return True

    def load(self, addresses: list[str]) -> None:
        """Replace the state from a snapshot."""
        self.addresses = list(addresses)
