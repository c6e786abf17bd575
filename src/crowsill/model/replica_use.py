"""Use of replicas by gateways: outstanding requests, as gateways report them to one another."""

import msgspec


class ReplicaUse(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """Outstanding work of one or several gateways at one replica.

    Attributes:
        requests: Requests that were sent and have not finished.
        prompt_tokens: Prompt tokens of the requests that have not received a first event.
    """

    requests: int
    prompt_tokens: int = 0


NO_USE = ReplicaUse(0)

# Use by `instance_id`; a replica that is not listed is not in use.
UseByReplica = dict[str, ReplicaUse]


def total_use(parts: list[UseByReplica]) -> UseByReplica:
    """Return the sum of several reports.

    >>> total_use([{"a": ReplicaUse(1, 200)}, {"a": ReplicaUse(2), "b": ReplicaUse(1, 50)}])
    {'a': ReplicaUse(requests=3, prompt_tokens=200), 'b': ReplicaUse(requests=1, prompt_tokens=50)}
    """
    total: UseByReplica = {}
    for part in parts:
        for replica, use in part.items():
            known = total.get(replica)
            total[replica] = (
                use
                if known is None
                else ReplicaUse(
                    known.requests + use.requests, known.prompt_tokens + use.prompt_tokens
                )
            )
    return total
