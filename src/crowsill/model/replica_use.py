"""Use of replicas by gateways: outstanding requests, as gateways report them to one another."""

import msgspec


class ReplicaUse(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """Outstanding work of one or several gateways at one replica.

    Attributes:
        requests: Requests that were sent and have not finished.
        prompt_tokens: Prompt tokens of the requests that have not received a first event.
        work_ms: Expected time that a replica of usual pace still works on these requests; 0 if the
            sender does not estimate it.
        pace_percent: Time that work takes there, in percent of the usual time: in a report, the
            lowest that was received since the last one; in the sum of all gateways, what was
            learned from them. 0 if none is known.
    """

    requests: int
    prompt_tokens: int = 0
    work_ms: int = 0
    pace_percent: int = 0

    def plus(self, other: "ReplicaUse") -> "ReplicaUse":
        """Return the sum of two reports; of two paces, the quicker one.

        >>> ReplicaUse(1, 200, pace_percent=70).plus(ReplicaUse(2, pace_percent=175))
        ReplicaUse(requests=3, prompt_tokens=200, work_ms=0, pace_percent=70)
        """
        return ReplicaUse(
            self.requests + other.requests,
            self.prompt_tokens + other.prompt_tokens,
            self.work_ms + other.work_ms,
            min(self.pace_percent or other.pace_percent, other.pace_percent or self.pace_percent),
        )


NO_USE = ReplicaUse(0)

# Use by `instance_id`; a replica that is not listed is not in use.
UseByReplica = dict[str, ReplicaUse]


def total_use(parts: list[UseByReplica]) -> UseByReplica:
    """Return the sum of several reports.

    >>> total = total_use([{"a": ReplicaUse(1, 200)}, {"a": ReplicaUse(2), "b": ReplicaUse(1, 50)}])
    >>> [(name, use.requests, use.prompt_tokens) for name, use in total.items()]
    [('a', 3, 200), ('b', 1, 50)]
    """
    total: UseByReplica = {}
    for part in parts:
        for replica, use in part.items():
            known = total.get(replica)
            total[replica] = use if known is None else known.plus(use)
    return total


def with_paces(use: UseByReplica, paces: dict[str, int]) -> UseByReplica:
    """Return a report with these paces in percent, and with no others.

    >>> without = {"a": ReplicaUse(1)}
    >>> [(name, item.requests, item.pace_percent) for name, item in
    ...  with_paces(without, {"a": 70, "b": 170}).items()]
    [('a', 1, 70), ('b', 0, 170)]
    """
    result = without_paces(use)
    if not paces:
        return result
    result = dict(result)
    for replica, percent in paces.items():
        known = result.get(replica, NO_USE)
        result[replica] = msgspec.structs.replace(known, pace_percent=percent)
    return result


def without_paces(use: UseByReplica) -> UseByReplica:
    """Return a report without paces, and without replicas that were listed only for theirs.

    >>> without_paces({"a": ReplicaUse(1, pace_percent=70), "b": ReplicaUse(0, pace_percent=170)})
    {'a': ReplicaUse(requests=1, prompt_tokens=0, work_ms=0, pace_percent=0)}
    """
    if not any(item.pace_percent for item in use.values()):
        return use
    plain = {
        replica: msgspec.structs.replace(item, pace_percent=0) for replica, item in use.items()
    }
    return {replica: item for replica, item in plain.items() if item != NO_USE}
