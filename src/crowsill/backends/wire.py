"""HTTP paths, headers and bodies of the protocol with back ends and the platform's list."""

import msgspec

from crowsill.model.fleet import ReplicaDescription

HEADER_PRIORITY = "X-Priority"
HEADER_NOT_RUN = "X-Not-Run"

PATH_REPORT = "/v1/report"
PATH_ORDERS = "/v1/orders"
PATH_STREAMS = "/v1/streams"
PATH_CACHE_EVENTS = "/v1/cache-events"
PATH_KV = "/v1/kv"
HEADER_PREFIX_HASH = "X-Prefix-Hash"
PATH_MACHINES = "/v1/machines"

STREAM_END = b"data: [DONE]\n\n"
CONTENT_TYPE_STREAM = "text/event-stream"

PRIORITY_URGENT = "0"
PRIORITY_PATIENT = "10"


class OrderBody(msgspec.Struct, frozen=True):
    """Body of an order; `(term, order_id)` is the fencing token."""

    order_id: int
    term: int
    incarnation: str
    kind: str
    resource: str
    memory_mib: int


class MachineList(msgspec.Struct, frozen=True):
    """Body of the platform's list of machines."""

    machines: list[ReplicaDescription]
