"""Where control processes are that belonged to the group or asked for it, replicated.

One that has lost its disk, or has none, forgets everything when it restarts, and may be all that
others know of the group: a leader must be able to find it after any loss.
"""

# Beyond so many the one recorded first is dropped. A site has a handful of control processes; each
# that is gone for good costs the leader one packet every two seconds.
MAX_CONTROL_ADDRESSES = 64


class ControlAddresses:
    """Their addresses, `IP:port`, in the order in which they were recorded.

    >>> known = ControlAddresses()
    >>> known.record("127.0.0.1:1"), known.record("127.0.0.1:1"), known.addresses
    (True, False, ['127.0.0.1:1'])
    """

    def __init__(self) -> None:
        self.addresses: list[str] = []

    def record(self, address: str) -> bool:
        """Record one; return whether it was not known."""
        if address in self.addresses:
            return False
        self.addresses = [*self.addresses, address][-MAX_CONTROL_ADDRESSES:]
        return True

    def load(self, addresses: list[str]) -> None:
        """Replace the state by that of a snapshot."""
        self.addresses = list(addresses)
